#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t, uint16_t
#include <map> // map
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// An upstream as it registered itself. A restart has another id.
struct UpstreamRecord
{
    UpstreamId m_id;
    ServiceId m_service;
    DataCentreId m_dataCentre;
    std::string m_ip;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    bool m_isDraining = false;
    bool m_isReclaimable = false;
    /// Time until it is taken away, where it has been told.
    std::optional<Duration> m_leavesIn;
};

/// Tells whether two entries of one upstream mean the same for where requests go.
inline bool isSameForRouting(const UpstreamRecord &left, const UpstreamRecord &right)
{
    return left.m_isDraining == right.m_isDraining && left.m_ip == right.m_ip
           && left.m_port == right.m_port && left.m_service == right.m_service;
}

/// All upstreams at one revision of the store.
struct UpstreamList
{
    std::int64_t m_revision = 0;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
};

} // namespace gypsumdale
