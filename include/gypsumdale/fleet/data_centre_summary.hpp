#pragma once

#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// What a data centre can take on for one service, summed over its live upstreams.
struct ServiceCapacity
{
    ServiceId m_service;
    int m_upstreams = 0;
    int m_slots = 0;
    int m_running = 0;
    int m_queued = 0;
};

/// One data centre as another one sees it. The list of nodes is left out while the receiver is
/// taken to have it; the digest tells.
struct DataCentreSummary
{
    DataCentreId m_dataCentre;
    RegionId m_region;
    WallMillis m_madeAt = 0;
    std::int64_t m_nodesDigest = 0;
    std::optional<std::vector<NodeIdentity>> m_nodes;
    std::vector<ServiceCapacity> m_services;
};

/// Over the names and incarnations of nodes, whatever their order. Linear.
std::int64_t digestOf(const std::vector<NodeIdentity> &nodes);

/// A summary with the time at which it arrived here.
struct ReceivedSummary
{
    DataCentreSummary m_summary;
    TimePoint m_receivedAt;
    /// When the list of nodes it holds was made; the list is kept from summary to summary.
    WallMillis m_nodesMadeAt = 0;
};

} // namespace gypsumdale
