#include "support/crash_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Most arrivals of a cause at upstreams, once all VMs must know that it crashes them.
constexpr int toleratedArrivals = 3;
constexpr std::uint32_t controlPlays = 5;

CrashFaults lethal(std::size_t requests, std::size_t parts)
{
    CrashFaults faults;
    faults.m_lethalRequests = requests;
    faults.m_lethalParts = parts;
    return faults;
}

CrashFaults withSiblings(CrashFaults faults)
{
    faults.m_hasSiblings = true;
    return faults;
}

CrashFaults withWaves(CrashFaults faults)
{
    faults.m_hasWaves = true;
    return faults;
}

CrashFaults withCutPaths(CrashFaults faults)
{
    faults.m_hasCutPaths = true;
    return faults;
}

CrashFaults withKilledVms(CrashFaults faults)
{
    faults.m_hasKilledVms = true;
    return faults;
}

/// Everything but requests that crash their upstreams.
CrashFaults onlyOthers()
{
    CrashFaults faults = withKilledVms(withCutPaths(withWaves({})));
    faults.m_hasPartedVms = true;
    return faults;
}

/// Returns whether no sound request was rejected as a lethal one, and few lethal ones reached
/// upstreams once they were known.
bool isKept(const CrashFleet &fleet, const CrashFaults &faults, std::uint32_t seed)
{
    const CrashVerdict verdict = CrashSimulation(fleet, faults, seed).play();
    CAPTURE(seed, verdict.m_wronglyRejected, verdict.m_mostEnds, verdict.m_mostLateArrivals);
    CHECK(verdict.m_wronglyRejected == 0);
    CHECK(verdict.m_mostLateArrivals <= toleratedArrivals);
    return verdict.m_wronglyRejected == 0 && verdict.m_mostLateArrivals <= toleratedArrivals;
}

void checkSmallFleets(const CrashFaults &faults)
{
    for (const CrashFleet &fleet : {smallCrashFleet, busyCrashFleet}) {
        REQUIRE(rc::check([&](std::uint32_t seed) { RC_ASSERT(isKept(fleet, faults, seed)); }));
    }
}

void checkLargeFleets(const CrashFaults &faults)
{
    for (const CrashFleet &fleet : {grownCrashFleet, hugeCrashFleet}) {
        for (const std::uint32_t seed : {1, 2})
            CHECK(isKept(fleet, faults, seed));
    }
}

} // namespace

// Guards against requests that end one upstream after the other, at whichever VM they arrive, and
// against others being taken for their cause.
TEST_CASE("what crashes its upstreams is found in a small fleet")
{
    checkSmallFleets(lethal(1, 0));
    checkSmallFleets(lethal(0, 1));
}

TEST_CASE("two causes at once are found in a small fleet")
{
    checkSmallFleets(lethal(0, 2));
    checkSmallFleets(lethal(1, 1));
}

TEST_CASE("a part that is sent beside one which crashes its upstreams is not rejected")
{
    checkSmallFleets(withSiblings(lethal(0, 1)));
}

TEST_CASE("what crashes its upstreams is found while paths to upstreams are cut")
{
    checkSmallFleets(withCutPaths(lethal(0, 1)));
}

TEST_CASE("what crashes its upstreams is found while others crash by themselves")
{
    checkSmallFleets(withWaves(lethal(0, 1)));
    checkSmallFleets(withWaves(lethal(1, 0)));
}

TEST_CASE("what crashes its upstreams is found while VMs are killed")
{
    checkSmallFleets(withKilledVms(lethal(0, 1)));
}

TEST_CASE("what crashes its upstreams is found in large fleets")
{
    checkLargeFleets(lethal(0, 1));
    checkLargeFleets(lethal(1, 2));
    checkLargeFleets(withCutPaths(withWaves(lethal(0, 1))));
}

// Guards against requests being taken for the cause of crashes of upstreams, cut paths and killed
// VMs.
TEST_CASE("nothing is found where upstreams crash by themselves")
{
    checkSmallFleets(onlyOthers());
    checkLargeFleets(onlyOthers());
}

// Guards against plays that would pass without the decisions that they are about.
TEST_CASE("plays fail without verdicts and without proofs")
{
    CrashFaults noVerdicts = lethal(0, 1);
    noVerdicts.m_findsNothing = true;
    CrashFaults noProofs = lethal(0, 1);
    noProofs.m_ignoresProofs = true;
    int wronglyRejected = 0;
    for (std::uint32_t seed = 1; seed <= controlPlays; ++seed) {
        CHECK(CrashSimulation(smallCrashFleet, noVerdicts, seed).play().m_mostLateArrivals
              > toleratedArrivals);
        wronglyRejected +=
                CrashSimulation(smallCrashFleet, noProofs, seed).play().m_wronglyRejected;
    }
    CHECK(wronglyRejected > 0);
}
