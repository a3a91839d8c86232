#pragma once

#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/upstream_state.hpp>

#include <cstdint> // int64_t, uint16_t
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Requests the load of the upstream; the answer is passed to onLoad or onProbeFailed.
struct ProbeUpstream
{
    UpstreamId m_upstream;
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// Sends a new notice to every node of the own data centre immediately and, unless it was received
/// from another data centre, to two nodes of each other one.
struct ForwardNotice
{
    LeavingNotice m_notice;
    bool m_toOtherDataCentres = true;
};

/// For logs, the explain history, and components with requests or jobs at the upstream.
struct UpstreamStateChanged
{
    UpstreamId m_upstream;
    UpstreamState m_state = UpstreamState::Suspect;
    std::string m_reason;
    WallMillis m_deadline = 0;
};

using UpstreamCommand = std::variant<ProbeUpstream, ForwardNotice, UpstreamStateChanged>;
using UpstreamCommands = std::vector<UpstreamCommand>;

/// A VM of an upstream as shown in the cloud's list, which lags.
struct ListedUpstream
{
    UpstreamDeclaration m_declaration;
    bool m_isLeaving = false;
};

/// An owner's compact report about an upstream.
struct UpstreamObservation
{
    std::int64_t m_key = 0;
    UpstreamState m_state = UpstreamState::Suspect;
    UpstreamLoad m_load;
    int m_totalInFlight = 0;
    Duration m_age{};
};

/// Observations and the version up to which they are complete.
struct ObservationBatch
{
    std::vector<UpstreamObservation> m_observations;
    std::int64_t m_upTo = 0;
};

/// Number of requests that one node has at an upstream.
struct InFlightReport
{
    std::int64_t m_key = 0;
    int m_count = 0;
};

/// Where this node received a notice from.
enum class NoticeSource { Local, OwnDataCentre, OtherDataCentre };

} // namespace gypsumdale
