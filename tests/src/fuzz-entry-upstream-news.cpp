#include "support/simulated_fleets.hpp"
#include "support/upstream_list_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array> // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

int play(const SimulatedFleet &fleet, const SimulatedFaults &troubles, std::uint64_t seed)
{
    UpstreamListSimulation world(fleet.m_vms, fleet.m_dataCentres, fleet.m_bound, troubles, seed);
    return world.play(60s);
}

/// A recorded simulation run in which a VM was late.
struct KeptPlay
{
    SimulatedFleet m_fleet;
    bool m_isQuiet = false;
    std::uint64_t m_seed = 0;
};

constexpr std::array<KeptPlay, 9> keptPlays = {{
        {largeNewsFleet, false, 59},
        {largeNewsFleet, false, 4283},
        {largeNewsFleet, false, 6795928},
        {largeNewsFleet, false, 6990989},
        {largeNewsFleet, false, 85942977},
        {largeNewsFleet, false, 399816998},
        {largeNewsFleet, true, 1774742},
        {hugeNewsFleet, false, 2891061},
        {hugeNewsFleet, true, 262299407},
}};

void checkFleets(SimulatedFaults troubles)
{
    for (const SimulatedFleet &fleet : newsFleets) {
        INFO(fleet.m_vms << " VMs");
        REQUIRE(rc::check([&fleet, troubles](std::uint32_t seed) {
            RC_ASSERT(play(fleet, troubles, seed) == 0);
        }));
    }
}

} // namespace

// Guards against requests to an upstream that has left, from a VM whose list counts as fresh
// although the message that confirmed it was delayed for a long time.
TEST_CASE("a leaving upstream is left alone in time though readers are slow")
{
    SimulatedFaults troubles;
    troubles.m_slowest = 3s;
    troubles.m_hasSlow = true;
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}

// Guards against timeouts between an upstream's notice and the VMs that add up to more than the
// limit.
TEST_CASE("a leaving upstream is left alone in time in all troubles at once")
{
    SimulatedFaults troubles = allSimulatedFaults();
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}

// Guards against rarer combinations of such timeouts: a full read that is lost after a refused
// watch, or a reader that waits with a list that is nearly too old.
TEST_CASE("a leaving upstream is left alone in time in plays that once were late")
{
    for (const KeptPlay &kept : keptPlays) {
        CAPTURE(kept.m_fleet.m_vms, kept.m_isQuiet, kept.m_seed);
        SimulatedFaults troubles = allSimulatedFaults();
        troubles.m_isQuiet = kept.m_isQuiet;
        CHECK(play(kept.m_fleet, troubles, kept.m_seed) == 0);
    }
}

// Guards against readers that never learn of a leaving upstream after the store has dropped its
// history.
TEST_CASE("a leaving upstream is left alone in time though the store drops its history")
{
    SimulatedFaults troubles;
    troubles.m_hasKilled = true;
    troubles.m_hasTurnedAway = true;
    troubles.m_hasDropped = true;
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}
