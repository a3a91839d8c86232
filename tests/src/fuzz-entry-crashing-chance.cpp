#include "support/crash_simulation.hpp"

#include <catch2/catch.hpp>

#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

int wronglyRejected(const CrashFleet &fleet, const CrashFaults &faults, std::uint32_t seed)
{
    return CrashSimulation(fleet, faults, seed).play().m_wronglyRejected;
}

} // namespace

// Guards against a part being rejected that is sent beside two others which crash their upstreams.
TEST_CASE("a part that is sent beside two which crash their upstreams is not rejected")
{
    CrashFaults faults;
    faults.m_lethalParts = 2;
    faults.m_hasSiblings = true;
    for (const std::uint32_t seed : {1, 2, 4})
        CHECK(wronglyRejected(smallCrashFleet, faults, seed) == 0);
    for (const std::uint32_t seed : {1, 4, 5})
        CHECK(wronglyRejected(busyCrashFleet, faults, seed) == 0);
}

// Guards against a request being rejected whose attempts were at three upstreams in a row that
// crashed by themselves.
TEST_CASE("a request that was at three upstreams which crashed by themselves is not rejected")
{
    CrashFaults faults;
    faults.m_lethalParts = 1;
    faults.m_hasWaves = true;
    for (const std::uint32_t seed : {164, 790})
        CHECK(wronglyRejected(busyCrashFleet, faults, seed) == 0);
    CrashFaults persistent = faults;
    persistent.m_triesWithoutLimit = true;
    CHECK(wronglyRejected(busyCrashFleet, persistent, 164) == 0);
    faults.m_hasCutPaths = true;
    faults.m_hasKilledVms = true;
    persistent.m_hasCutPaths = true;
    persistent.m_hasKilledVms = true;
    CHECK(wronglyRejected(smallCrashFleet, faults, 186) == 0);
    CHECK(wronglyRejected(smallCrashFleet, persistent, 186) == 0);
}
