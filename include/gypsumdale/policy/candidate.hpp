#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t
#include <vector> // vector

namespace gypsumdale {

/// Snapshot of an upstream for the routing.
struct Candidate
{
    UpstreamId m_upstream;
    DataCentreId m_dataCentre;
    RegionId m_region;
    /// Number of requests that the upstream runs concurrently.
    std::uint32_t m_slots = 1;
    /// Requests of this process in flight there; exact.
    std::uint32_t m_ownInFlight = 0;
    /// Requests of the other entry VMs, by their last heartbeats.
    std::uint32_t m_peersInFlight = 0;
    /// Requests by the upstream's own report, and the report's age.
    std::uint32_t m_reportedRunning = 0;
    std::uint32_t m_reportedQueued = 0;
    Duration m_reportAge = Duration::max();
    /// Dispatches of this process since that report was made.
    std::uint32_t m_ownSinceReport = 0;
    /// Hourly cost by the cloud's price list, in its currency; 0 if unknown.
    double m_pricePerHour = 0.0;
    bool m_isReclaimable = false;
    /// Probability of a reclaim within the hour, 0 to 1.
    double m_reclaimRisk = 0.0;
    /// The upstream is leaving and gets no new requests.
    bool m_isLeaving = false;
    /// Smoothed times measured by this process; zero if unknown.
    Duration m_firstToken{};
    Duration m_betweenTokens{};
    /// Recent failures, decaying over time.
    double m_recentFailures = 0.0;
};

/// Properties of a request that the routing policies use.
struct RoutingRequest
{
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_expectedTokens = 0;
    /// Time left until the first token is due; limits the preference for nearby upstreams.
    Duration m_firstTokenTimeLeft = Duration::max();
    std::vector<std::uint64_t> m_prefixBlocks;
    std::vector<UpstreamId> m_triedUpstreams;
};

/// Estimates the number of requests at an upstream: the larger of what the entry VMs know of, and
/// the upstream's report plus this process's dispatches since. Each of them can lag; their sum
/// would count requests twice. Complexity: constant.
std::uint32_t estimatedLoad(const Candidate &candidate);

} // namespace gypsumdale
