#pragma once

#include "support/request_delivery_simulation.hpp"
#include "support/simulated_fleets.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono> // seconds
#include <cstdint> // uint32_t, uint64_t

namespace gypsumdale::testing {

/// Counts of late uses of upstreams, late requests and all arrivals in a simulation.
struct DeliveryLateness
{
    int m_learned = 0;
    int m_requests = 0;
    int m_arrivals = 0;
};

inline DeliveryLateness simulateDelivery(const SimulatedFleet &fleet,
                                         const SimulatedFaults &troubles, std::uint64_t seed)
{
    RequestDeliverySimulation world(fleet.m_vms, fleet.m_dataCentres, fleet.m_bound, troubles,
                                    seed);
    const int learned = world.play(std::chrono::seconds(60));
    return {learned, world.lateRequests(), world.arrivals()};
}

/// Returns the number of drawn seeds of which one is simulated. Large fleets take ten times as
/// long as small ones, so fewer seeds are simulated for them.
inline std::uint32_t seedsPerSimulation(const SimulatedFleet &fleet)
{
    constexpr std::uint32_t ofLarge = 16;
    return fleet.m_vms == smallNewsFleet.m_vms ? 1 : ofLarge;
}

inline void checkDelivery(SimulatedFaults troubles)
{
    troubles.m_isQuiet = GENERATE(false, true);
    for (const SimulatedFleet &fleet : newsFleets) {
        INFO(fleet.m_vms << " VMs");
        REQUIRE(rc::check([&fleet, troubles](std::uint32_t seed) {
            if (seed % seedsPerSimulation(fleet) != 0)
                return;
            const DeliveryLateness lateness = simulateDelivery(fleet, troubles, seed);
            RC_ASSERT(lateness.m_arrivals > 0);
            RC_ASSERT(lateness.m_learned == 0);
            RC_ASSERT(lateness.m_requests == 0);
        }));
    }
}

} // namespace gypsumdale::testing
