#include <gypsumdale/serving/completion_forecast.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <vector> // vector

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr TimePoint later = start + seconds(60);

ServingRoute routeNamed(const char *name)
{
    ServingRoute route;
    route.m_name = name;
    route.m_timeout = seconds(15);
    return route;
}

} // namespace

TEST_CASE("nothing is forecast from too few requests")
{
    const ServingRoute draft = routeNamed("draft");
    CompletionForecaster forecaster;
    for (int number = 0; number < 3; ++number)
        forecaster.record("draft", seconds(4), start);
    CHECK_FALSE(forecaster.forecast(draft, later));
    CHECK_FALSE(forecaster.forecast(routeNamed("other"), later));
    forecaster.record("draft", seconds(2), start);
    REQUIRE(forecaster.forecast(draft, later));
    CHECK(forecaster.forecast(draft, later)->m_percentile90 == seconds(4));
    CHECK(forecaster.forecast(draft, later)->m_longest == seconds(4));
}

// Guards against a young process that has seen the end of short requests only, and begins long ones
// that it cuts.
TEST_CASE("nothing is forecast before the longest requests can have ended")
{
    const ServingRoute draft = routeNamed("draft");
    CompletionForecaster forecaster;
    for (int number = 0; number < 8; ++number)
        forecaster.record("draft", seconds(1), start + seconds(1));
    CHECK_FALSE(forecaster.forecast(draft, start + milliseconds(14900)));
    CHECK(forecaster.forecast(draft, start + seconds(15)));
}

// Guards against a forecast by the mean, which half of the requests would exceed and be cut.
TEST_CASE("nine in ten of the last requests end within the 90th percentile")
{
    const ServingRoute draft = routeNamed("draft");
    CompletionForecaster forecaster;
    for (int number = 1; number <= 30; ++number)
        forecaster.record("draft", milliseconds(100 * number), start);
    CHECK(forecaster.forecast(draft, later)->m_percentile90 == milliseconds(2700));
    CHECK(forecaster.forecast(draft, later)->m_longest == milliseconds(3000));
    SECTION("until newer ones have taken their place")
    {
        for (int number = 0; number < 32; ++number)
            forecaster.record("draft", seconds(1), start);
        CHECK(forecaster.forecast(draft, later)->m_longest == seconds(1));
    }
}

// Guards against a forecast by the short ones of a wave, whose long ones are still under way.
TEST_CASE("requests that are still under way count with their age")
{
    const ServingRoute draft = routeNamed("draft");
    CompletionForecaster forecaster;
    for (int number = 0; number < 16; ++number)
        forecaster.record("draft", seconds(1), later);
    REQUIRE(forecaster.forecast(draft, later + seconds(20)));
    CHECK(forecaster.forecast(draft, later + seconds(20))->m_percentile90 == seconds(1));
    const TimePoint now = later + seconds(20);
    SECTION("if they are older than those that have ended")
    {
        const std::vector<TimePoint> underWay(16, now - seconds(3));
        CHECK(forecaster.forecast(draft, now, underWay)->m_percentile90 == seconds(3));
        CHECK(forecaster.forecast(draft, now, underWay)->m_longest == seconds(3));
    }
    SECTION("not if they are younger")
    {
        const std::vector<TimePoint> underWay(16, now - milliseconds(900));
        CHECK(forecaster.forecast(draft, now, underWay)->m_percentile90 == seconds(1));
    }
    SECTION("and a few long ones of many don't matter while connections are accepted")
    {
        const std::vector<TimePoint> underWay(1, now - seconds(3));
        CHECK(forecaster.forecast(draft, now, underWay)->m_percentile90 == seconds(1));
        CHECK(forecaster.forecast(draft, now, underWay)->m_longest == seconds(3));
    }
}

// Guards against cutting a stream that breaks near its end and would go on elsewhere in time.
TEST_CASE("of a stream that has begun only the rest is awaited")
{
    const DurationForecast whole{seconds(4), seconds(9)};
    CHECK(whole.without(seconds(3)).m_percentile90 == seconds(1));
    CHECK(whole.without(seconds(3)).m_longest == seconds(6));
    CHECK(whole.without(seconds(5)).m_percentile90 == Duration::zero());
}

TEST_CASE("a route that the configuration no longer has is forgotten")
{
    CompletionForecaster forecaster;
    for (int number = 0; number < 4; ++number) {
        forecaster.record("kept", seconds(1), start);
        forecaster.record("removed", seconds(1), start);
    }
    ServingConfig config;
    config.m_routes.emplace_back().m_name = "kept";
    forecaster.retainRoutes(config);
    CHECK(forecaster.forecast(routeNamed("kept"), later));
    CHECK_FALSE(forecaster.forecast(routeNamed("removed"), later));
}

TEST_CASE("a request of unknown duration is judged by its latency target, a stream not at all")
{
    ServingRoute route;
    route.m_latencyTarget = milliseconds(500);
    REQUIRE(assumedDuration(route));
    CHECK(assumedDuration(route)->m_longest == seconds(1));
    route.m_kind = RouteRepeatSafety::Stream;
    CHECK_FALSE(assumedDuration(route));
}
