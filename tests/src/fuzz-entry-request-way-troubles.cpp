#include "support/request_delivery_checks.hpp"

#include <catch2/catch.hpp>

#include <array> // array
#include <cstdint> // uint64_t
#include <map> // map

using namespace gypsumdale::testing;

// Guards against late requests from VMs that use the lists of peers, or whose answers are lost.
TEST_CASE("a leaving upstream gets no late request in all troubles at once")
{
    checkDelivery(allSimulatedFaults());
}

// Guards against a link whose queue grows between the connection and the first byte.
TEST_CASE("a leaving upstream gets no late request from a link that fills meanwhile")
{
    constexpr std::array<std::uint64_t, 3> seeds = {125, 167229452944, 536196023723};
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        CHECK(simulateDelivery(smallNewsFleet, allSimulatedFaults(), seed).m_requests == 0);
    }
}

// Guards against a network path that recovers just before a placement deadline, behind a link whose
// queue fills up.
TEST_CASE("a leaving upstream gets no late request from a path that heals late")
{
    for (const auto &[seed, isQuiet] :
         std::map<std::uint64_t, bool>{{90657115, true}, {6371847, false}, {166828, false}}) {
        CAPTURE(seed);
        SimulatedFaults troubles;
        troubles.m_isQuiet = isQuiet;
        CHECK(simulateDelivery(smallNewsFleet, troubles, seed).m_requests == 0);
    }
}

// Guards against entries that are retained although their upstream has left.
TEST_CASE("a leaving upstream gets no late request by an entry that is kept for its return")
{
    constexpr std::array<std::uint64_t, 6> seeds = {1101590840816, 200086, 200165,
                                                    400024,        401618, 402032};
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        CHECK(simulateDelivery(smallNewsFleet, allSimulatedFaults(), seed).m_requests == 0);
    }
}

// Guards against a link whose queue grows suddenly right after the connection.
TEST_CASE("a leaving upstream gets no late request from a queue that jumps after the connection")
{
    constexpr std::array<std::uint64_t, 3> seeds = {300095, 301446, 301580};
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        CHECK(simulateDelivery(smallNewsFleet, allSimulatedFaults(), seed).m_requests == 0);
    }
}
