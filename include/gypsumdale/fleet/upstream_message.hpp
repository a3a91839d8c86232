#pragma once

#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/upstream_state.hpp>

#include <cstdint> // int64_t, uint16_t
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Ask the upstream for its load; give the answer to onLoad or onProbeFailed.
struct ProbeUpstream
{
    UpstreamId m_upstream;
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// A notice that is new here: tell every node of the own data centre at once, and, unless it came
/// from another data centre, two nodes of each other one.
struct ForwardNotice
{
    LeavingNotice m_notice;
    bool m_toOtherDataCentres = true;
};

/// For logs, the explain history, and whoever has requests or jobs there.
struct UpstreamStateChanged
{
    UpstreamId m_upstream;
    UpstreamState m_state = UpstreamState::Suspect;
    std::string m_reason;
    WallMillis m_deadline = 0;
};

using UpstreamCommand = std::variant<ProbeUpstream, ForwardNotice, UpstreamStateChanged>;
using UpstreamCommands = std::vector<UpstreamCommand>;

/// A VM of an upstream as the cloud's lagging list shows it.
struct ListedUpstream
{
    UpstreamDeclaration m_declaration;
    bool m_isLeaving = false;
};

/// An owner's compact word about an upstream.
struct UpstreamObservation
{
    std::int64_t m_key = 0;
    UpstreamState m_state = UpstreamState::Suspect;
    UpstreamLoad m_load;
    int m_totalInFlight = 0;
    Duration m_age{};
};

/// Observations and the version they lead up to.
struct ObservationBatch
{
    std::vector<UpstreamObservation> m_observations;
    std::int64_t m_upTo = 0;
};

/// Requests that one node has at an upstream.
struct InFlightReport
{
    std::int64_t m_key = 0;
    int m_count = 0;
};

/// From where a notice reached this node.
enum class NoticeSource { Local, OwnDataCentre, OtherDataCentre };

} // namespace gypsumdale
