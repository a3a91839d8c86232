#include "support/crash_simulation.hpp"

#include <catch2/catch.hpp>

#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::uint32_t plays = 60;

/// Number of plays in which a cause ended more upstreams than some until it was known.
int playsBeyond(const CrashFaults &faults, int ends)
{
    int beyond = 0;
    for (std::uint32_t seed = 1; seed <= plays; ++seed) {
        const CrashVerdict verdict = CrashSimulation(smallCrashFleet, faults, seed).play();
        beyond += verdict.m_mostEndsAtFirst > ends ? 1 : 0;
    }
    return beyond;
}

} // namespace

// Guards against upstreams that end while it is found out what ends them.
TEST_CASE("what crashes its upstreams mostly ends three of them and never more than five")
{
    CrashFaults faults;
    faults.m_lethalParts = 1;
    CHECK(2 * playsBeyond(faults, 3) < static_cast<int>(plays));
    CHECK(playsBeyond(faults, 5) == 0);
}
