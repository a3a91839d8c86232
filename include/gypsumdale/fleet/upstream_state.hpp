#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t, uint16_t
#include <string> // string

namespace gypsumdale {

enum class UpstreamState { Live, Suspect, Leaving, Gone };

inline constexpr NameTable<UpstreamState, 4> upstreamStateNames = {{
        {UpstreamState::Live, "live"},
        {UpstreamState::Suspect, "suspect"},
        {UpstreamState::Leaving, "leaving"},
        {UpstreamState::Gone, "gone"},
}};

/// An upstream as declared in the settings or the VM list. One without a VM is from the settings.
struct UpstreamDeclaration
{
    UpstreamId m_upstream;
    ServiceId m_service;
    DataCentreId m_dataCentre;
    VmId m_vm;
    std::string m_address;
    std::uint16_t m_port = 0;
    std::string m_vmClass;
    bool m_isReclaimable = false;

    friend bool operator==(const UpstreamDeclaration &, const UpstreamDeclaration &) = default;
};

/// Load that an upstream last reported. Slots are 0 while unknown.
struct UpstreamLoad
{
    Incarnation m_incarnation = 0;
    int m_slots = 0;
    int m_running = 0;
    int m_queued = 0;
    std::int64_t m_cachedTokens = 0;

    friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// What this node knows of one upstream: the snapshot that routing is based on.
struct UpstreamView
{
    UpstreamDeclaration m_declaration;
    UpstreamState m_state = UpstreamState::Suspect;
    TimePoint m_stateSince;
    /// Reason for the state, for operators.
    std::string m_reason;
    /// Time at which the upstream ends, if a notice contains it; 0 otherwise.
    WallMillis m_deadline = 0;
    UpstreamLoad m_load;
    /// Time at which the load was observed, here or by the owner; the epoch's start if never.
    TimePoint m_loadAt;
    /// Requests of this node and, as last summed by the owner, of all nodes.
    int m_ownInFlight = 0;
    int m_totalInFlight = 0;

    /// Returns whether new work may go there; a suspect upstream gets some only if no live one
    /// remains.
    bool isOpen() const
    {
        return m_state == UpstreamState::Live || m_state == UpstreamState::Suspect;
    }
    bool hasLoad() const { return m_loadAt != TimePoint(); }
    Duration loadAge(TimePoint now) const { return now - m_loadAt; }
};

} // namespace gypsumdale
