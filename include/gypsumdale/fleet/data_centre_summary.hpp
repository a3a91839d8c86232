#pragma once

#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Capacity of a data centre for one service, summed over its live upstreams.
struct ServiceCapacity
{
    ServiceId m_service;
    int m_upstreams = 0;
    int m_slots = 0;
    int m_running = 0;
    int m_queued = 0;
};

/// State of one data centre as sent to others. The list of nodes is left out while the receiver is
/// assumed to have it; the digest shows whether it has.
struct DataCentreSummary
{
    DataCentreId m_dataCentre;
    RegionId m_region;
    WallMillis m_madeAt = 0;
    std::int64_t m_nodesDigest = 0;
    std::optional<std::vector<NodeIdentity>> m_nodes;
    std::vector<ServiceCapacity> m_services;
};

/// Returns a digest over the names and incarnations of nodes, independent of their order.
/// Complexity: linear.
std::int64_t digestOf(const std::vector<NodeIdentity> &nodes);

/// A summary with the time at which it arrived here.
struct ReceivedSummary
{
    DataCentreSummary m_summary;
    TimePoint m_receivedAt;
    /// Time at which its list of nodes was created; the list is kept across summaries without one.
    WallMillis m_nodesMadeAt = 0;
};

} // namespace gypsumdale
