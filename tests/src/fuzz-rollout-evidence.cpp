#include <support/rollout_plays.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::test;

// Guards against a good version of a small fleet that is rolled back as too little is known of it.
TEST_CASE("a good version of a fleet with few requests is accepted in time: kept seeds")
{
    for (const std::uint64_t seed : {13U, 24U, 49U, 57U, 73U, 93U, 129U}) {
        RolloutPlay play = fleetOf(6);
        addTroubles(play, seed);
        const RolloutOutcome outcome = RolloutSimulation(play, seed).run();
        INFO("seed " << seed << ", reason " << enumName(rolloutReasonNames, outcome.m_reason));
        CHECK(outcome.m_recorded == RolloutStage::Succeeded);
    }
}
