#include <gypsumdale/observe/highest_value.hpp>
#include <gypsumdale/observe/metrics.hpp>

#include <observe/detail/page_bounds.hpp>

#include <catch2/catch.hpp>

#include <algorithm> // all_of, count
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("latency histogram")
{
    LatencyHistogram histogram;

    SECTION("counts a duration at a bound within that bound, as le means")
    {
        histogram.record(51ms);
        histogram.record(51ms + 1ns);
        histogram.record(-1ms);
        const LatencySnapshot counts = histogram.snapshot();
        CHECK(counts.m_upper.at(8) == 51ms);
        CHECK(counts.m_counts.at(8) == 1);
        CHECK(counts.m_counts.at(9) == 1);
        CHECK(counts.m_counts.at(0) == 1);
        CHECK(counts.m_sum == 102ms + 1ns);
    }

    SECTION("keeps what exceeds every bound in the last bucket")
    {
        histogram.record(1h);
        CHECK(histogram.snapshot().m_counts.back() == 1);
        CHECK(histogram.snapshot().quantile(0.5) == 300s);
    }

    SECTION("gives quantiles within the width of a bucket")
    {
        for (int millis = 1; millis <= 1000; ++millis)
            histogram.record(std::chrono::milliseconds(millis));
        const LatencySnapshot counts = histogram.snapshot();
        CHECK(counts.quantile(0.95) == 950ms);
        CHECK(counts.quantile(0.0) == 0ms);
        CHECK(counts.quantile(1.0) == 1000ms);
        CHECK(counts.shareWithin(350ms) == Approx(0.35));
        CHECK(counts.shareWithin(1h) == Approx(1.0));
        CHECK(LatencySnapshot().quantile(0.95) == 0ms);
    }
}

TEST_CASE("metrics exposition")
{
    Metrics metrics;

    SECTION("writes a histogram with cumulated buckets, sum and count")
    {
        RequestSeries &series = metrics.series(MemberId("acme"), ProfileId("phone"));
        series.record(Latency::FirstToken, 300ms);
        series.record(Latency::FirstToken, 1500ms);
        const std::string text = metrics.expose();
        const std::string name = "gypsumdale_time_to_first_token_seconds";
        const std::string labels = "profile=\"phone\"";
        CHECK(contains(text, "# HELP " + name + " "));
        CHECK(contains(text, "# TYPE " + name + " histogram\n"));
        // Leading empty buckets are omitted, later ones are not.
        CHECK_FALSE(contains(text, name + "_bucket{" + labels + ",le=\"0.1\"}"));
        CHECK(contains(text, name + "_bucket{" + labels + ",le=\"0.35\"} 1\n"));
        CHECK(contains(text, name + "_bucket{" + labels + ",le=\"1.5\"} 2\n"));
        CHECK(contains(text, name + "_bucket{" + labels + ",le=\"5\"} 2\n"));
        CHECK(contains(text, name + "_bucket{" + labels + ",le=\"+Inf\"} 2\n"));
        CHECK(contains(text, name + "_sum{" + labels + "} 1.8\n"));
        CHECK(contains(text, name + "_count{" + labels + "} 2\n"));
        CHECK(metrics.total(Latency::FirstToken).count() == 2);
        const std::string ofMember = "gypsumdale_member_time_to_first_token_seconds";
        CHECK(contains(text, "# TYPE " + ofMember + " histogram\n"));
        CHECK(contains(text, ofMember + "_bucket{member=\"acme\",le=\"0.35\"} 1\n"));
        CHECK(contains(text, ofMember + "_bucket{member=\"acme\",le=\"1.5\"} 2\n"));
        CHECK(contains(text, ofMember + "_bucket{member=\"acme\",le=\"+Inf\"} 2\n"));
        CHECK(contains(text, ofMember + "_sum{member=\"acme\"} 1.8\n"));
        CHECK(contains(text, ofMember + "_count{member=\"acme\"} 2\n"));
        // A latency that was never measured has no series.
        CHECK_FALSE(contains(text, "gypsumdale_queueing_seconds_count"));
        CHECK_FALSE(contains(text, "gypsumdale_requests_done_total{"));
    }

    SECTION("shows only bounds of buckets that are kept, with the promises among them")
    {
        const std::vector<Duration> kept = LatencyHistogram().snapshot().m_upper;
        const auto isKept = [&kept](int millis) {
            return std::ranges::count(kept, Duration(std::chrono::milliseconds(millis))) == 1;
        };
        for (std::size_t place = 0; place < latencyCount; ++place) {
            const detail::PageBounds bounds = detail::pageBounds(static_cast<Latency>(place));
            CHECK(std::ranges::all_of(bounds.m_ofProfile, isKept));
            CHECK(std::ranges::all_of(bounds.m_ofMember, isKept));
        }
        const detail::PageBounds first = detail::pageBounds(Latency::FirstToken);
        CHECK(std::ranges::count(first.m_ofProfile, 350) == 1);
        CHECK(std::ranges::count(first.m_ofMember, 350) == 1);
        const detail::PageBounds between = detail::pageBounds(Latency::BetweenTokens);
        CHECK(std::ranges::count(between.m_ofProfile, 51) == 1);
        CHECK(std::ranges::count(between.m_ofMember, 51) == 1);
    }

    SECTION("writes counters, errors and only the gauges that were set")
    {
        metrics.add(Counter::Retries, 2);
        metrics.assign(Counter::LogLinesLost, 9);
        metrics.countError(ErrorId::QueueFull);
        metrics.set(Gauge::PeersLive, -1);
        metrics.series(MemberId("acme"), ProfileId("phone")).add(RequestCounter::Done);
        const std::string text = metrics.expose();
        CHECK(contains(text,
                       "# TYPE gypsumdale_retries_total counter\ngypsumdale_retries_total 2"));
        CHECK(contains(text, "\ngypsumdale_log_lines_lost_total 9\n"));
        CHECK(contains(text, "\ngypsumdale_errors_total{error=\"queue-full\"} 1\n"));
        CHECK(contains(text, "\ngypsumdale_peers_live -1\n"));
        CHECK(contains(text, "gypsumdale_requests_done_total{profile=\"phone\"} 1\n"));
        CHECK(contains(text, "gypsumdale_member_requests_done_total{member=\"acme\"} 1\n"));
        CHECK_FALSE(contains(text, "gypsumdale_ready"));
        metrics.clear(Gauge::PeersLive);
        CHECK_FALSE(contains(metrics.expose(), "gypsumdale_peers_live"));
    }

    SECTION("escapes labels")
    {
        const std::string name = "a\"b\\c\nd\x01";
        metrics.series(MemberId(name), ProfileId(name)).add(RequestCounter::Done);
        CHECK(contains(metrics.expose(), "{member=\"a\\\"b\\\\c\\nd_\"} 1\n"));
        CHECK(contains(metrics.expose(), "{profile=\"a\\\"b\\\\c\\nd_\"} 1\n"));
    }
}

TEST_CASE("the highest value since the last reading")
{
    // Guards against an old maximum that hides that the lists' age has decreased.
    HighestValue highest;
    CHECK_FALSE(highest.take());
    highest.note(-3);
    highest.note(40);
    highest.note(7);
    CHECK(highest.take() == 40);
    CHECK_FALSE(highest.take());
    highest.note(7);
    CHECK(highest.take() == 7);
}

TEST_CASE("metrics cardinality")
{
    // A deployment script creates a member for each shop visitor. Without a limit, each of them
    // adds hundreds of samples until the process or the monitoring tool runs out of memory.
    Metrics metrics({2, 1});
    RequestSeries &first = metrics.series(MemberId("m-0"), ProfileId("p-0"));
    for (int i = 0; i < 100; ++i) {
        const std::string number = std::to_string(i);
        metrics.series(MemberId("m-" + number), ProfileId("p-" + number))
                .add(RequestCounter::Received);
    }
    // Two members, one class, and one "other" each.
    CHECK(metrics.measuresCount() == 5);
    const std::string text = metrics.expose();
    const std::string ofMember = "gypsumdale_member_requests_received_total";
    CHECK(contains(text, ofMember + "{member=\"m-0\"} 1\n"));
    CHECK(contains(text, ofMember + "{member=\"m-1\"} 1\n"));
    CHECK(contains(text, ofMember + "{member=\"other\"} 98\n"));
    const std::string ofProfile = "gypsumdale_requests_received_total";
    CHECK(contains(text, ofProfile + "{profile=\"p-0\"} 1\n"));
    CHECK(contains(text, ofProfile + "{profile=\"other\"} 99\n"));
    CHECK_FALSE(contains(text, "m-2"));
    CHECK_FALSE(contains(text, "p-1"));
    CHECK(&first == &metrics.series(MemberId("m-0"), ProfileId("p-0")));
}
