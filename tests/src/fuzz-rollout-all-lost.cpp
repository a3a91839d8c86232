#include <support/rollout_plays.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::test;

// Guards against a slow version that gets requests long after its fiftieth bad answer, as the
// evidence is lost with all VMs.
TEST_CASE("a slow version gets nothing late where all VMs are lost at once: kept seeds")
{
    for (const std::uint64_t seed : {61U, 116U}) {
        RolloutPlay play = fleetOf(68);
        play.m_fault = VersionFault::Slow;
        play.m_badShare = seed % 2 == 0 ? 0.32 : 0.5;
        addTroubles(play, seed);
        const RolloutOutcome outcome = RolloutSimulation(play, seed).run();
        INFO("seed " << seed);
        CHECK(outcome.m_exposedTooLate == 0);
    }
}
