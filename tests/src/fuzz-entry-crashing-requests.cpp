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

/// Everything but requests that crash their upstreams.
constexpr CrashFaults onlyOthers{
        .m_hasWaves = true, .m_hasCutPaths = true, .m_hasKilledVms = true, .m_hasPartedVms = true};

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
    checkSmallFleets({.m_lethalRequests = 1});
    checkSmallFleets({.m_lethalParts = 1});
}

TEST_CASE("two causes at once are found in a small fleet")
{
    checkSmallFleets({.m_lethalParts = 2});
    checkSmallFleets({.m_lethalRequests = 1, .m_lethalParts = 1});
}

TEST_CASE("a part that is sent beside one which crashes its upstreams is not rejected")
{
    checkSmallFleets({.m_lethalParts = 1, .m_hasSiblings = true});
}

TEST_CASE("what crashes its upstreams is found while paths to upstreams are cut")
{
    checkSmallFleets({.m_lethalParts = 1, .m_hasCutPaths = true});
}

TEST_CASE("what crashes its upstreams is found while others crash by themselves")
{
    checkSmallFleets({.m_lethalParts = 1, .m_hasWaves = true});
    checkSmallFleets({.m_lethalRequests = 1, .m_hasWaves = true});
}

TEST_CASE("what crashes its upstreams is found while VMs are killed")
{
    checkSmallFleets({.m_lethalParts = 1, .m_hasKilledVms = true});
}

TEST_CASE("what crashes its upstreams is found in large fleets")
{
    checkLargeFleets({.m_lethalParts = 1});
    checkLargeFleets({.m_lethalRequests = 1, .m_lethalParts = 2});
    checkLargeFleets({.m_lethalParts = 1, .m_hasWaves = true, .m_hasCutPaths = true});
}

// Guards against requests being taken for the cause of crashes of upstreams, cut paths and killed
// VMs.
TEST_CASE("nothing is found where upstreams crash by themselves")
{
    checkSmallFleets(onlyOthers);
    checkLargeFleets(onlyOthers);
}

// Guards against a popular part being rejected, as the report of a run that ended an upstream comes
// after that of another one there.
TEST_CASE("a part of all requests is not rejected right after the start of a fleet")
{
    CHECK(isKept(smallCrashFleet, {.m_lethalParts = 1}, 92));
    CHECK(isKept(smallCrashFleet, {.m_lethalParts = 1, .m_triesWithoutLimit = true}, 92));
}

// Guards against a request being rejected whose attempts hadn't all begun at three upstreams that
// crashed by themselves.
TEST_CASE("a request that waited at an upstream which crashed is not rejected")
{
    for (const std::uint32_t seed : {2, 24}) {
        CHECK(isKept(busyCrashFleet, {.m_lethalParts = 1, .m_hasWaves = true}, seed));
        CHECK(isKept(busyCrashFleet,
                     {.m_lethalParts = 1, .m_hasWaves = true, .m_triesWithoutLimit = true}, seed));
    }
}

// Guards against plays that would pass without the decisions that they are about.
TEST_CASE("plays fail without verdicts and without proofs")
{
    constexpr CrashFaults noVerdicts{.m_lethalParts = 1, .m_findsNothing = true};
    constexpr CrashFaults noProofs{.m_lethalParts = 1, .m_ignoresProofs = true};
    int wronglyRejected = 0;
    for (std::uint32_t seed = 1; seed <= controlPlays; ++seed) {
        CHECK(CrashSimulation(smallCrashFleet, noVerdicts, seed).play().m_mostLateArrivals
              > toleratedArrivals);
        wronglyRejected +=
                CrashSimulation(smallCrashFleet, noProofs, seed).play().m_wronglyRejected;
    }
    CHECK(wronglyRejected > 0);
}
