#include <gypsumdale/serving/completion_forecast.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int tolerance = 1;

milliseconds toMilliseconds(std::optional<Duration> time)
{
    REQUIRE(time);
    return std::chrono::round<milliseconds>(*time);
}

} // namespace

TEST_CASE("nothing is forecast from too few requests")
{
    CompletionForecaster forecaster;
    for (int number = 0; number < 3; ++number)
        forecaster.record("draft", {0, seconds(1), seconds(4)});
    CHECK_FALSE(forecaster.forecast("draft", 0));
    CHECK_FALSE(forecaster.forecast("other", 0));
    forecaster.record("draft", {0, seconds(1), seconds(2)});
    CHECK(toMilliseconds(forecaster.forecast("draft", 0)) == seconds(4));
}

// Guards against a forecast by the mean, which half of the requests would exceed and be cut.
TEST_CASE("the slowest of the last requests counts, at the announced length")
{
    CompletionForecaster forecaster;
    for (int number = 0; number < 4; ++number)
        forecaster.record("draft", {100, milliseconds(200), milliseconds(1200)});
    forecaster.record("draft", {50, milliseconds(500), milliseconds(1500)});
    // 0.5 s to the first event, 20 ms a token.
    const milliseconds expected(500 + 20 * 300);
    const milliseconds forecast = toMilliseconds(forecaster.forecast("draft", 300));
    CHECK(std::chrono::abs(forecast - expected).count() <= tolerance);
    SECTION("until newer ones have taken its place")
    {
        for (int number = 0; number < 40; ++number)
            forecaster.record("draft", {100, milliseconds(200), milliseconds(1200)});
        const milliseconds later = toMilliseconds(forecaster.forecast("draft", 300));
        CHECK(std::chrono::abs(later - milliseconds(3200)).count() <= tolerance);
    }
    SECTION("and its whole time for a request that announces no length")
    {
        CHECK(toMilliseconds(forecaster.forecast("draft", 0)) == milliseconds(1500));
    }
}

TEST_CASE("a route that the configuration no longer has is forgotten")
{
    CompletionForecaster forecaster;
    for (int number = 0; number < 4; ++number) {
        forecaster.record("kept", {0, seconds(1), seconds(1)});
        forecaster.record("removed", {0, seconds(1), seconds(1)});
    }
    ServingConfig config;
    config.m_routes.emplace_back().m_name = "kept";
    forecaster.retainRoutes(config);
    CHECK(forecaster.forecast("kept", 0));
    CHECK_FALSE(forecaster.forecast("removed", 0));
}

TEST_CASE("a request of unknown duration is judged by its latency target, a stream not at all")
{
    ServingRoute route;
    route.m_latencyTarget = milliseconds(500);
    CHECK(toMilliseconds(assumedDuration(route)) == seconds(1));
    route.m_kind = RouteRepeatSafety::Stream;
    CHECK_FALSE(assumedDuration(route));
}
