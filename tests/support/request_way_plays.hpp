#pragma once

#include "support/news_plays.hpp"
#include "support/request_way_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono> // seconds
#include <cstdint> // uint32_t, uint64_t

namespace gypsumdale::testing {

/// Counts of late uses of upstreams, late requests and all arrivals in a simulation.
struct WayLateness
{
    int m_learned = 0;
    int m_requests = 0;
    int m_arrivals = 0;
};

inline WayLateness playWay(const NewsFleet &fleet, const NewsTroubles &troubles, std::uint64_t seed)
{
    RequestWayWorld world(fleet.m_vms, fleet.m_dataCentres, fleet.m_bound, troubles, seed);
    const int learned = world.play(std::chrono::seconds(60));
    return {learned, world.lateRequests(), world.arrivals()};
}

/// Returns the number of drawn seeds of which one is simulated. Large fleets take ten times as
/// long as small ones, so fewer seeds are simulated for them.
inline std::uint32_t seedsPerPlay(const NewsFleet &fleet)
{
    constexpr std::uint32_t ofLarge = 16;
    return fleet.m_vms == smallNewsFleet.m_vms ? 1 : ofLarge;
}

inline void checkWay(NewsTroubles troubles)
{
    troubles.m_isQuiet = GENERATE(false, true);
    for (const NewsFleet &fleet : newsFleets) {
        INFO(fleet.m_vms << " VMs");
        REQUIRE(rc::check([&fleet, troubles](std::uint32_t seed) {
            if (seed % seedsPerPlay(fleet) != 0)
                return;
            const WayLateness lateness = playWay(fleet, troubles, seed);
            RC_ASSERT(lateness.m_arrivals > 0);
            RC_ASSERT(lateness.m_learned == 0);
            RC_ASSERT(lateness.m_requests == 0);
        }));
    }
}

} // namespace gypsumdale::testing
