#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t, uint16_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string

namespace gypsumdale {

/// An upstream as it registered itself. After a restart it has another id, or the same one and a
/// later start.
struct UpstreamRecord
{
    UpstreamId m_id;
    ServiceId m_service;
    DataCentreId m_dataCentre;
    SoftwareVersion m_softwareVersion;
    std::string m_ip;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    /// Start of its process, as a wall time in milliseconds; 0 where not reported. A later start
    /// means another process, without any state of the earlier one.
    std::int64_t m_startedAt = 0;
    bool m_isDraining = false;
    bool m_isReclaimable = false;
    /// Its entry vanished around an outage of the store and is retained in case it returns.
    bool m_isRetained = false;
    /// Time until it is taken away, where it was notified.
    std::optional<Duration> m_timeUntilRemoval;
};

/// Returns whether two entries of one upstream are equivalent for routing.
inline bool isSameForRouting(const UpstreamRecord &left, const UpstreamRecord &right)
{
    return left.m_isDraining == right.m_isDraining && left.m_isRetained == right.m_isRetained
           && left.m_ip == right.m_ip && left.m_port == right.m_port
           && left.m_service == right.m_service && left.m_startedAt == right.m_startedAt
           && left.m_softwareVersion == right.m_softwareVersion;
}

/// All upstreams at one revision of the store.
struct UpstreamList
{
    std::int64_t m_revision = 0;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
    /// Upstreams whose entries can't be read.
    std::set<UpstreamId> m_unusable;
};

} // namespace gypsumdale
