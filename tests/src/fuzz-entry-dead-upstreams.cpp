#include "support/relay_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr RelayFleet busyFleet{7, 3, 24, 3, 29, std::chrono::seconds(3)};

/// Returns whether VMs with a path to most upstreams know that, and serve all but 1 in 200 first
/// tries, while a part of the upstreams is dead.
bool knowThatTheyReach(const RelayFleet &fleet, double deadPart, std::uint32_t seed)
{
    RelayFaults faults;
    faults.m_hasNoCuts = true;
    faults.m_deadAtOnce = deadPart;
    RelaySimulation simulation(fleet, faults, seed);
    simulation.play();
    const SoundVmVerdict &verdict = simulation.soundVms();
    CAPTURE(deadPart, seed, verdict.m_sent, verdict.m_failed, verdict.m_falseCutOffs);
    CHECK(verdict.m_falseCutOffs == 0);
    CHECK(200 * verdict.m_failed <= verdict.m_sent);
    return verdict.m_falseCutOffs == 0 && 200 * verdict.m_failed <= verdict.m_sent;
}

} // namespace

// Guards against VMs that take dead upstreams for a cut of their own paths, and relay or reject
// what the others would serve.
TEST_CASE("a VM that reaches most upstreams never believes that it is cut off")
{
    for (const double deadPart : {0.1, 0.34, 0.5}) {
        REQUIRE(rc::check([deadPart](std::uint32_t seed) {
            RC_ASSERT(knowThatTheyReach(busyFleet, deadPart, seed));
        }));
    }
}
