#pragma once

#include "support/simulated_vm.hpp"

#include <gypsumdale/core/clock.hpp>

#include <array> // array
#include <chrono> // seconds
#include <cstddef> // size_t

namespace gypsumdale::testing {

/// Dimensions of a simulated fleet that exchanges updates about upstreams.
struct SimulatedFleet
{
    std::size_t m_vms = 0;
    std::size_t m_dataCentres = 0;
    Duration m_bound{};
};

inline constexpr SimulatedFleet smallNewsFleet{9, 4, std::chrono::seconds(2)};
inline constexpr SimulatedFleet largeNewsFleet{65, 3, std::chrono::seconds(3)};
inline constexpr SimulatedFleet hugeNewsFleet{195, 5, std::chrono::seconds(4)};
inline constexpr std::array<SimulatedFleet, 3> newsFleets = {smallNewsFleet, largeNewsFleet,
                                                             hugeNewsFleet};

inline SimulatedFaults allSimulatedFaults()
{
    SimulatedFaults troubles;
    troubles.m_slowest = std::chrono::seconds(3);
    troubles.m_hasSlow = true;
    troubles.m_hasTurnedAway = true;
    troubles.m_hasKilled = true;
    troubles.m_hasDropped = true;
    troubles.m_hasLostAnswers = true;
    return troubles;
}

} // namespace gypsumdale::testing
