#include <gypsumdale/serving/retry_benefit.hpp>

#include <string> // string, to_string
#include <vector> // vector

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const ServiceId service("shop");
const ErrorKind kind{service, "orders", 500};
const UpstreamId anyUpstream("u-0");

/// Counts of a part of the load.
struct Tally
{
    int m_errors = 0;
    int m_retried = 0;
    /// Errors of a failing upstream, where a second run helps.
    int m_helpable = 0;
    int m_helpableRetried = 0;
};

/// Requests of one VM to three upstreams, each error of which is decided on.
class Load
{
public:
    explicit Load(double answersPerSecond)
        : m_pause(std::chrono::duration_cast<Duration>(1s / answersPerSecond))
    {}

    /// Plays some time. Errors that belong to the request fail a second run too; the first upstream
    /// also fails a part of the other requests.
    Tally play(Duration time, double requestErrors, double upstreamFailures)
    {
        Tally tally;
        for (const TimePoint end = m_now + time; m_now < end; m_now += m_pause)
            serve(requestErrors, upstreamFailures, tally);
        return tally;
    }

    void restart() { m_benefit = RetryBenefit(); }

private:
    bool occurs(double probability)
    {
        return static_cast<double>(m_random()) < probability * static_cast<double>(pcg32::max());
    }

    void serve(double requestErrors, double upstreamFailures, Tally &tally)
    {
        const int index = static_cast<int>(m_random(3));
        const UpstreamId upstream("u-" + std::to_string(index));
        const bool isRequestError = occurs(requestErrors);
        const bool isHelpable = !isRequestError && index == 0 && occurs(upstreamFailures);
        const bool isError = isRequestError || isHelpable;
        m_benefit.recordAnswer(service, upstream, isError, m_now);
        if (!isError)
            return;
        const bool isRetried = m_benefit.decide(kind, upstream, m_now).isRetried();
        ++tally.m_errors;
        tally.m_retried += isRetried ? 1 : 0;
        tally.m_helpable += isHelpable ? 1 : 0;
        tally.m_helpableRetried += isHelpable && isRetried ? 1 : 0;
        if (!isRetried)
            return;
        const UpstreamId other("u-" + std::to_string(1 + static_cast<int>(m_random(2))));
        m_benefit.recordAnswer(service, other, isRequestError, m_now);
        m_benefit.recordSecondRun(kind, !isRequestError, m_now);
    }

    RetryBenefit m_benefit;
    pcg32 m_random{7};
    TimePoint m_now{1h};
    Duration m_pause;
};

/// Records second runs, of which the first ones have helped.
void recordRuns(RetryBenefit &benefit, int runs, int helped, TimePoint now)
{
    for (int run = 0; run < runs; ++run)
        benefit.recordSecondRun(kind, run < helped, now);
}

RetryBenefitReason reasonAt(RetryBenefit &benefit, TimePoint now)
{
    return benefit.decide(kind, std::nullopt, now).m_reason;
}

} // namespace

TEST_CASE("errors are retried while too few second runs are known")
{
    RetryBenefit benefit;
    const TimePoint now{1h};
    CHECK(reasonAt(benefit, now) == RetryBenefitReason::TooFewSamples);
    recordRuns(benefit, RetryBenefit::minSecondRuns - 1, 0, now);
    CHECK(reasonAt(benefit, now) == RetryBenefitReason::TooFewSamples);
    recordRuns(benefit, 1, 0, now);
    CHECK(reasonAt(benefit, now) == RetryBenefitReason::RarelyHelps);
    CHECK(reasonAt(benefit, now + RetryBenefit::maxAge + 1s) == RetryBenefitReason::TooFewSamples);
}

TEST_CASE("errors are retried while second runs help in more than one in five cases")
{
    const TimePoint now{1h};
    RetryBenefit rarely;
    recordRuns(rarely, 10, 2, now);
    CHECK(reasonAt(rarely, now) == RetryBenefitReason::RarelyHelps);
    RetryBenefit often;
    recordRuns(often, 10, 3, now);
    CHECK(reasonAt(often, now) == RetryBenefitReason::SecondRunsHelp);
}

// Guards against counts of one route or status that decide for another.
TEST_CASE("kinds of errors are counted apart")
{
    RetryBenefit benefit;
    const TimePoint now{1h};
    recordRuns(benefit, 10, 0, now);
    for (const ErrorKind &other :
         {ErrorKind{ServiceId("app"), "orders", 500}, ErrorKind{service, "basket", 500},
          ErrorKind{service, "orders", 503}}) {
        CHECK(benefit.decide(other, std::nullopt, now).m_reason
              == RetryBenefitReason::TooFewSamples);
    }
}

// Guards against a decision that nothing can change any more.
TEST_CASE("one in ten errors is retried to keep measuring")
{
    RetryBenefit benefit;
    const TimePoint now{1h};
    recordRuns(benefit, 10, 0, now);
    int retried = 0;
    for (int error = 0; error < 100; ++error)
        retried += benefit.decide(kind, anyUpstream, now).isRetried() ? 1 : 0;
    CHECK(retried == 10);
}

TEST_CASE("errors that belong to the request are answered at once")
{
    for (const double rate : {2.0, 20.0, 200.0}) {
        CAPTURE(rate);
        Load load(rate);
        load.play(120s, 0.05, 0);
        const Tally tally = load.play(600s, 0.05, 0);
        CHECK(tally.m_errors > 0);
        CHECK(tally.m_retried * 4 <= tally.m_errors);
    }
}

// Guards against an upstream whose errors a second run would mend, and whose callers get them.
TEST_CASE("an upstream that fails part of its requests is found within two seconds")
{
    for (const double share : {0.3, 0.5, 0.9}) {
        CAPTURE(share);
        Load load(60);
        load.play(120s, 0.05, 0);
        load.play(2s, 0.05, share);
        const Tally failing = load.play(20s, 0.05, share);
        CHECK(failing.m_helpable > 0);
        CHECK(failing.m_helpableRetried * 10 >= failing.m_helpable * 9);
        // Once it has recovered, second runs don't help any more.
        load.play(30s, 0.05, 0);
        const Tally recovered = load.play(60s, 0.05, 0);
        CHECK(recovered.m_retried * 4 <= recovered.m_errors);
    }
}

// Guards against errors that pass by themselves, on all upstreams alike, being forwarded for long.
TEST_CASE("a second run that helps is followed by further ones")
{
    RetryBenefit benefit;
    const TimePoint now{1h};
    recordRuns(benefit, static_cast<int>(RetryBenefit::maxSecondRuns), 0, now);
    int forwarded = 0;
    for (int error = 0; error < 30; ++error) {
        if (benefit.decide(kind, std::nullopt, now).isRetried())
            benefit.recordSecondRun(kind, true, now);
        else
            ++forwarded;
    }
    CHECK(forwarded < RetryBenefit::measurementInterval);
}

// Guards against a service whose upstreams all fail being taken for one with a failing upstream.
TEST_CASE("the only upstream of a service fails no more often than the median")
{
    RetryBenefit benefit;
    const TimePoint now{1h};
    recordRuns(benefit, 10, 0, now);
    for (int answer = 0; answer < 20; ++answer)
        benefit.recordAnswer(service, anyUpstream, answer % 2 == 0, now);
    const RetryBenefitDecision decision = benefit.decide(kind, anyUpstream, now);
    CHECK(decision.m_reason == RetryBenefitReason::RarelyHelps);
    CHECK(decision.m_errors == 8);
    CHECK(decision.m_answers == 16);
}

TEST_CASE("a restart loses the counts, and errors are retried as before")
{
    Load load(60);
    load.play(120s, 0.05, 0);
    load.restart();
    const Tally tally = load.play(1s, 0.05, 0);
    CHECK(tally.m_errors >= RetryBenefit::minSecondRuns);
    CHECK(tally.m_retried >= RetryBenefit::minSecondRuns);
}
