#include <gypsumdale/serving/rollout_plan.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

RolloutPlan makePlan(Duration duration = 14s)
{
    return RolloutPlan(ExposureBounds{}, duration, start, start);
}

RolloutObservation soundAt(Duration since)
{
    RolloutObservation seen;
    seen.m_now = start + since;
    seen.m_verdict = CanarySound{};
    seen.m_targets = 72;
    seen.m_others = 72;
    seen.m_runningAtOthers = 100;
    seen.m_requestRate = 700;
    return seen;
}

/// Moves a plan on in steps of 100 ms up to a time.
void advanceTo(RolloutPlan &plan, Duration until, RolloutObservation seen)
{
    for (Duration since{}; since <= until; since += 100ms) {
        seen.m_now = start + since;
        plan.advance(seen);
    }
}

} // namespace

TEST_CASE("a sound version is accepted within its time")
{
    for (const Duration duration : {8s, 12s, 14s, 30s, 120s}) {
        RolloutPlan plan = makePlan(duration);
        RolloutObservation seen = soundAt(0s);
        for (Duration since{}; since <= duration && !plan.isDecided(); since += 100ms) {
            seen.m_now = start + since;
            plan.advance(seen);
        }
        CHECK(plan.stage() == RolloutStage::Succeeded);
        CHECK(seen.m_now + 900ms <= plan.endsAt());
    }
}

TEST_CASE("a version is handed over to only after most of the time was watched")
{
    RolloutPlan plan = makePlan();
    advanceTo(plan, 7s, soundAt(0s));
    CHECK(plan.stage() == RolloutStage::Canary);
    advanceTo(plan, 8s, soundAt(0s));
    CHECK(plan.stage() == RolloutStage::Ramp);
}

TEST_CASE("a version is accepted as soon as nothing runs at the others any more")
{
    RolloutPlan plan = makePlan();
    advanceTo(plan, 9300ms, soundAt(0s));
    REQUIRE(plan.stage() == RolloutStage::Handover);
    RolloutObservation seen = soundAt(11s);
    seen.m_runningAtOthers = 0;
    CHECK(plan.advance(seen));
    CHECK(plan.stage() == RolloutStage::Succeeded);
    CHECK(plan.reason() == RolloutReason::OthersDone);
}

TEST_CASE("a bad version is rolled back in every stage")
{
    for (const Duration since : {2s, 5s, 8s, 10s}) {
        RolloutPlan plan = makePlan();
        advanceTo(plan, since, soundAt(0s));
        RolloutObservation seen = soundAt(since + 100ms);
        seen.m_verdict = CanaryBad{};
        plan.advance(seen);
        CHECK(plan.stage() == RolloutStage::RolledBack);
        CHECK(plan.share(seen) == 0);
        seen.m_verdict = CanarySound{};
        seen.m_now += 1s;
        plan.advance(seen);
        CHECK(plan.stage() == RolloutStage::RolledBack);
    }
}

TEST_CASE("a version about which too little is known is rolled back in time")
{
    RolloutPlan plan = makePlan();
    RolloutObservation seen = soundAt(0s);
    seen.m_verdict = CanaryUndecided{};
    advanceTo(plan, 12s, seen);
    CHECK(plan.stage() == RolloutStage::RolledBack);
    CHECK(plan.reason() == RolloutReason::TooLittleEvidence);
}

TEST_CASE("a version without upstreams, or with too few, is rolled back in time")
{
    RolloutObservation seen = soundAt(0s);
    seen.m_targets = 0;
    RolloutPlan none = makePlan();
    advanceTo(none, 12s, seen);
    CHECK(none.reason() == RolloutReason::NoUpstreams);
    seen.m_targets = 10;
    RolloutPlan few = makePlan();
    advanceTo(few, 12s, seen);
    CHECK(few.reason() == RolloutReason::TooFewUpstreams);
}

TEST_CASE("a VM that takes over exposes nothing before it has heard the others")
{
    RolloutPlan plan(ExposureBounds{}, 14s, start, start + 5s);
    RolloutObservation seen = soundAt(5500ms);
    plan.advance(seen);
    CHECK(plan.share(seen) == 0);
    seen.m_now = start + 6100ms;
    plan.advance(seen);
    CHECK(plan.stage() == RolloutStage::Canary);
}

TEST_CASE("the canary's part leaves room below the bound, in small and large fleets")
{
    for (const double rate : {5.0, 53.0, 190.0, 700.0, 5900.0}) {
        RolloutPlan plan = makePlan();
        RolloutObservation seen = soundAt(2s);
        seen.m_requestRate = rate;
        advanceTo(plan, 2s, seen);
        seen.m_now = start + 2s;
        const double requests = rate * 14;
        const double watched = rate * 7.7;
        CHECK(plan.share(seen) * watched <= 0.61 * (0.1 * requests + 50));
        CHECK(plan.share(seen) * rate >= 0.5);
    }
}

TEST_CASE("bad answers beyond a limit end a roll-out whatever the test says")
{
    RolloutPlan plan = makePlan();
    advanceTo(plan, 3s, soundAt(0s));
    RolloutObservation seen = soundAt(3100ms);
    seen.m_excessBadAnswers = 40;
    plan.advance(seen);
    CHECK(plan.reason() == RolloutReason::TooManyBadAnswers);
}

TEST_CASE("a paused roll-out gives the new version nothing, and ends with its time")
{
    RolloutPlan plan = makePlan();
    advanceTo(plan, 3s, soundAt(0s));
    plan.setPaused(true);
    CHECK(plan.share(soundAt(3100ms)) == 0);
    advanceTo(plan, 12s, soundAt(0s));
    CHECK(plan.stage() == RolloutStage::RolledBack);
}

TEST_CASE("canary upstreams have at least the load of the others")
{
    RolloutPlan plan = makePlan();
    const RolloutObservation seen = soundAt(2s);
    advanceTo(plan, 2s, seen);
    const auto count = static_cast<double>(plan.upstreamCount(seen));
    CHECK(plan.share(seen) / count >= 1.0 / 72);
}
