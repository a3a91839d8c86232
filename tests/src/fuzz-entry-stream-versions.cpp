#include "support/stream_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array> // array
#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::array<StreamFaults, 4> faultSets = {{
        {},
        {true, false, false},
        {false, true, false},
        {false, false, true},
}};
constexpr StreamFaults allFaults{true, true, true};

constexpr StreamFleet grownFleet{65, 4, 30, 60, std::chrono::seconds(20)};
constexpr StreamFleet largeFleet{195, 5, 62, 120, std::chrono::seconds(15)};

/// Returns whether no stream has events of two software versions, and those that are taken up go
/// on.
bool isKept(const StreamFleet &fleet, const StreamFaults &faults, std::uint32_t seed)
{
    const StreamVerdict verdict = StreamSimulation(fleet, faults, seed).play();
    CAPTURE(verdict.m_mixed, verdict.m_begun, verdict.m_sent, verdict.m_goneOn, verdict.m_takenUp);
    CHECK(verdict.m_mixed == 0);
    CHECK_FALSE(verdict.isLost());
    return verdict.m_mixed == 0 && !verdict.isLost();
}

void checkSeeds(const StreamFleet &fleet, std::uint32_t count)
{
    for (const StreamFaults &faults : faultSets) {
        for (std::uint32_t seed = 1; seed <= count; ++seed) {
            CAPTURE(seed);
            CHECK(isKept(fleet, faults, seed));
        }
    }
}

} // namespace

// Guards against streams that go on at another software version, or can't be taken up, in each size
// of fleet and beside other faults.
TEST_CASE("streams go on at their software version in a small fleet")
{
    for (const StreamFaults &faults : faultSets) {
        REQUIRE(rc::check(
                [faults](std::uint32_t seed) { RC_ASSERT(isKept(StreamFleet(), faults, seed)); }));
    }
}

TEST_CASE("streams go on at their software version in a grown fleet")
{
    checkSeeds(grownFleet, 4);
}

TEST_CASE("streams go on at their software version in a large fleet")
{
    checkSeeds(largeFleet, 2);
}

// Guards against streams that go on at another software version where VMs are cut off from each
// other, killed, and hold old lists at once.
TEST_CASE("streams go on at their software version beside all faults at once")
{
    REQUIRE(rc::check([](std::uint32_t seed) {
        const StreamVerdict verdict = StreamSimulation(StreamFleet(), allFaults, seed).play();
        RC_ASSERT(verdict.m_mixed == 0);
    }));
    for (const StreamFleet &fleet : {grownFleet, largeFleet}) {
        const StreamVerdict verdict = StreamSimulation(fleet, allFaults, 1).play();
        CHECK(verdict.m_mixed == 0);
    }
}

// Guards against streams that go on at another software version after all VMs were killed at once,
// and with them all records of where streams began.
TEST_CASE("streams go on at their software version where the whole fleet dies")
{
    StreamFaults faults;
    faults.m_hasFleetKills = true;
    int takenUp = 0;
    for (const StreamFleet &fleet : {StreamFleet(), grownFleet, largeFleet}) {
        for (std::uint32_t seed = 1; seed <= 12; ++seed) {
            CAPTURE(fleet.m_vms, seed);
            const StreamVerdict verdict = StreamSimulation(fleet, faults, seed).play();
            CHECK(verdict.m_mixed == 0);
            takenUp += verdict.m_takenUp;
        }
    }
    CHECK(takenUp > 0);
}
