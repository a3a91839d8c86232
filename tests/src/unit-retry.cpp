#include <gypsumdale/policy/outlier.hpp>
#include <gypsumdale/policy/retry_budget.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

AttemptState makeAttempt(AttemptOutcome outcome)
{
    AttemptState attempt;
    attempt.m_outcome = outcome;
    attempt.m_info = AttemptInfo{1, 2, Duration::max()};
    attempt.m_startedAt = start;
    return attempt;
}

std::optional<NoRetryReason> reasonOf(const RetryDecision &decision)
{
    const auto *none = std::get_if<NoRetry>(&decision);
    return none == nullptr ? std::nullopt : std::optional(none->m_reason);
}

} // namespace

TEST_CASE("which attempts are tried again")
{
    RetryBudget budget;
    pcg32 random(1);
    RetryProfile once;
    RetryProfile repeatable;
    repeatable.m_isRepeatable = true;
    RetryProfile resumable = repeatable;
    resumable.m_canResume = true;
    const auto decide = [&](AttemptOutcome outcome, const RetryProfile &profile) {
        return reasonOf(decideRetry(makeAttempt(outcome), profile, budget, start, random));
    };

    SECTION("one that must not repeat only where it can't have run")
    {
        // A reservation is written to a connection that is silent. The first copy may have arrived,
        // so a retry could book twice.
        once.m_canResume = true;
        CHECK_FALSE(decide(AttemptOutcome::NothingSent, once));
        CHECK_FALSE(decide(AttemptOutcome::RefusedBeforeStart, once));
        CHECK(decide(AttemptOutcome::SentNoAnswer, once) == NoRetryReason::NotRepeatable);
        CHECK(decide(AttemptOutcome::BrokenAnswer, once) == NoRetryReason::NotRepeatable);
    }
    SECTION("after the answer began only by resuming")
    {
        CHECK_FALSE(decide(AttemptOutcome::SentNoAnswer, repeatable));
        CHECK(decide(AttemptOutcome::BrokenAnswer, repeatable) == NoRetryReason::AnswerBegan);
        const auto decision = decideRetry(makeAttempt(AttemptOutcome::BrokenAnswer), resumable,
                                          budget, start, random);
        CHECK(std::get<Retry>(decision).m_isResume);
    }
    SECTION("not past the attempts, the deadline or the budget")
    {
        AttemptState attempt = makeAttempt(AttemptOutcome::NothingSent);
        attempt.m_info.m_attemptsLeft = 0;
        CHECK(reasonOf(decideRetry(attempt, once, budget, start, random))
              == NoRetryReason::AttemptsSpent);
        attempt = makeAttempt(AttemptOutcome::NothingSent);
        attempt.m_deadline = start + 10ms;
        CHECK(reasonOf(decideRetry(attempt, once, budget, start, random))
              == NoRetryReason::DeadlinePassed);
        CHECK(budget.available() == 5.0);
        while (budget.tryTake()) {
        }
        CHECK(decide(AttemptOutcome::NothingSent, once) == NoRetryReason::BudgetSpent);
    }
    SECTION("a job that must finish goes on slowly when the budget is spent")
    {
        resumable.m_mustFinish = true;
        while (budget.tryTake()) {
        }
        const auto decision = decideRetry(makeAttempt(AttemptOutcome::BrokenAnswer), resumable,
                                          budget, start, random);
        CHECK(std::get<Retry>(decision).m_backoff == resumable.m_maxBackoff);
    }
    SECTION("backoff doubles with jitter up to the longest")
    {
        AttemptState attempt = makeAttempt(AttemptOutcome::NothingSent);
        for (const auto &[number, full] : {std::pair(1U, 25ms), {3U, 100ms}, {40U, 2000ms}}) {
            attempt.m_info.m_attempt = number;
            RetryBudget fresh;
            const auto decision = decideRetry(attempt, once, fresh, start, random);
            const Retry &retry = std::get<Retry>(decision);
            CHECK(retry.m_backoff >= full / 2);
            CHECK(retry.m_backoff <= full);
            CHECK(retry.m_next.m_attempt == number + 1);
            CHECK(retry.m_next.m_attemptsLeft == 1);
        }
    }
}

TEST_CASE("hedges")
{
    RetryBudget budget;
    RetryProfile profile;
    profile.m_isRepeatable = true;
    profile.m_allowsHedging = true;
    AttemptState attempt = makeAttempt(AttemptOutcome::SentNoAnswer);
    const auto decide = [&](TimePoint now) {
        return reasonOf(decideHedge(attempt, profile, budget, now));
    };
    CHECK(decide(start + 499ms) == NoRetryReason::TooEarly);
    CHECK_FALSE(decide(start + 500ms));
    attempt.m_outcome = AttemptOutcome::BrokenAnswer;
    CHECK(decide(start + 1s) == NoRetryReason::AnswerBegan);
    profile.m_isRepeatable = false;
    CHECK(decide(start + 1s) == NoRetryReason::NotRepeatable);
    profile.m_allowsHedging = false;
    CHECK(decide(start + 1s) == NoRetryReason::NotEnabled);
}

TEST_CASE("the budget is a share of the first attempts")
{
    RetryBudget budget(RetryBudgetSettings{0.1, 3.0, 0.0});
    CHECK_FALSE(budget.tryTake());
    for (int at = 0; at < 11; ++at)
        budget.recordFirstAttempt();
    CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
    for (int at = 0; at < 1000; ++at)
        budget.recordFirstAttempt();
    CHECK(budget.available() == 3.0);
}

TEST_CASE("attempts don't multiply along the path")
{
    // Three layers with three attempts each would turn one failure into 27 requests, at a time when
    // the service is least able to serve them.
    RetryProfile profile;
    CHECK(firstAttemptInfo(profile, std::nullopt).m_attemptsLeft == 2);
    const AttemptInfo below =
            downstreamAttemptInfo(AttemptInfo{2, 1, Duration::max()}, start + 900ms, start);
    CHECK(toHeader(below) == "attempt=2;left=0;ms=900");
    const auto read = attemptFromHeader(toHeader(below));
    REQUIRE(read);
    const AttemptInfo info = firstAttemptInfo(profile, read);
    CHECK(info.m_attempt == 2);
    CHECK(info.m_attemptsLeft == 0);
    CHECK(info.m_timeLeft == 900ms);
    CHECK(attemptFromHeader("attempt=1;left=2")->m_timeLeft == Duration::max());
    for (const char *text :
         {"", "attempt=0;left=1", "attempt=1", "attempt=1;left=x", "attempt=1;left=1;ms=-5",
          "attempt=1;left=99999999999", "attempt=1;left=1;ms=99999999999999"})
        CHECK_FALSE(attemptFromHeader(text));
}

TEST_CASE("failing upstreams are taken out of use")
{
    OutlierDetector detector;
    detector.setFleetSize(4);
    const UpstreamId bad("bad");
    const auto fail = [&](const UpstreamId &upstream, int times, TimePoint now) {
        for (int at = 0; at < times; ++at) {
            detector.dispatched(upstream, now);
            detector.onFailure(upstream, now);
        }
    };

    SECTION("after failures in a row, and back through one probe")
    {
        fail(bad, 4, start);
        CHECK(detector.canUse(bad, start));
        fail(bad, 1, start);
        CHECK_FALSE(detector.canUse(bad, start + 4999ms));
        CHECK(detector.canUse(bad, start + 5s));
        detector.dispatched(bad, start + 5s);
        CHECK_FALSE(detector.canUse(bad, start + 5s));
        SECTION("the probe succeeds")
        {
            detector.onSuccess(bad, start + 6s);
            CHECK(detector.canUse(bad, start + 6s));
            CHECK_FALSE(detector.isEjected(bad));
        }
        SECTION("the probe fails: twice as long")
        {
            detector.onFailure(bad, start + 6s);
            CHECK_FALSE(detector.canUse(bad, start + 15s));
            CHECK(detector.canUse(bad, start + 16s));
        }
        SECTION("the probe tells nothing: another may go")
        {
            detector.onAbandoned(bad);
            CHECK(detector.canUse(bad, start + 6s));
        }
    }
    SECTION("a success in between clears the count")
    {
        fail(bad, 4, start);
        detector.onSuccess(bad, start);
        fail(bad, 4, start);
        CHECK(detector.canUse(bad, start));
    }
    SECTION("never more than the share")
    {
        for (const char *name : {"a", "b", "c", "d"})
            fail(UpstreamId(name), 20, start);
        CHECK(detector.ejectedCount() == 2);
        OutlierDetector alone;
        alone.setFleetSize(1);
        for (int at = 0; at < 10; ++at)
            alone.onFailure(bad, start);
        CHECK(alone.canUse(bad, start));
    }
    SECTION("silence while something runs there")
    {
        detector.dispatched(bad, start);
        detector.heard(bad, start + 5s);
        detector.checkSilence(start + 14s);
        CHECK(detector.canUse(bad, start + 14s));
        detector.checkSilence(start + 15s);
        CHECK_FALSE(detector.canUse(bad, start + 15s));
        detector.forget(bad);
        CHECK(detector.canUse(bad, start + 15s));
    }
}
