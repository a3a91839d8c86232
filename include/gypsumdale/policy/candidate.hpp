#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t
#include <vector> // vector

namespace gypsumdale {

/// An upstream as the routing sees it at one moment.
struct Candidate
{
    UpstreamId m_upstream;
    DataCentreId m_dataCentre;
    RegionId m_region;
    /// How many requests the upstream runs at a time.
    std::uint32_t m_slots = 1;
    /// This process's requests there: exact.
    std::uint32_t m_ownInFlight = 0;
    /// Those of the other entry VMs, by their last heartbeats.
    std::uint32_t m_peersInFlight = 0;
    /// The upstream's own report, and how old it is.
    std::uint32_t m_reportedRunning = 0;
    std::uint32_t m_reportedQueued = 0;
    Duration m_reportAge = Duration::max();
    /// This process's dispatches since that report was made.
    std::uint32_t m_ownSinceReport = 0;
    /// Cost of an hour by the cloud's price list, in its currency; 0 where unknown.
    double m_pricePerHour = 0.0;
    bool m_isReclaimable = false;
    /// Chance of a reclaim within the hour, 0 to 1.
    double m_reclaimRisk = 0.0;
    /// An upstream that leaves gets nothing new.
    bool m_isLeaving = false;
    /// Smoothed times as measured by this process; zero while unknown.
    Duration m_firstToken{};
    Duration m_betweenTokens{};
    /// Failures in the recent past, fading.
    double m_recentFailures = 0.0;
};

/// What a routing policy needs to know of a request.
struct RoutingRequest
{
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_expectedTokens = 0;
    /// How long the first token may still take; the bound for staying near.
    Duration m_firstTokenTimeLeft = Duration::max();
    std::vector<std::uint64_t> m_prefixBlocks;
    std::vector<UpstreamId> m_triedUpstreams;
};

/// Estimates the requests now at an upstream: the larger of what the entry VMs know of and what it
/// reported plus the own dispatches since. Either alone can lag; adding them would count twice.
/// Constant.
std::uint32_t estimatedLoad(const Candidate &candidate);

} // namespace gypsumdale
