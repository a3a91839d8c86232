#include <gypsumdale/entry/entry_metrics.hpp>

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <array> // array
#include <cstdint> // uint64_t
#include <string> // string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t manyRequests = 1'234'567;
/// Number of recordings of each duration for each pair, so that counts have seven digits.
constexpr int manyTimes = 400;
constexpr std::uint64_t manyBytes = 123'456'789'012;

/// Request counters of an entry process.
constexpr std::array entryCounters = {
        RequestCounter::Received, RequestCounter::Done,           RequestCounter::Refused,
        RequestCounter::Failed,   RequestCounter::OutcomeUnknown, RequestCounter::Cancelled,
};
constexpr std::array entryLatencies = {
        Latency::FirstToken,
        Latency::BetweenTokens,
        Latency::Total,
};

/// Returns a name as long as those in the simulated sites.
MemberId account(std::size_t number)
{
    return MemberId(fmt::format("rade{:04}", number));
}

ProfileId route(std::size_t number)
{
    return ProfileId(fmt::format("r-phhwn{:02}", number));
}

void use(RequestSeries &series)
{
    for (const RequestCounter counter : entryCounters)
        series.add(counter, manyRequests);
    for (const Latency latency : entryLatencies) {
        for (int time = 0; time < manyTimes; ++time) {
            for (Duration duration = 1ms + 1ns; duration < 10min; duration *= 2)
                series.record(latency, duration);
        }
    }
}

/// Uses every account with every route, and one more of each than have metric series of their own.
void useAll(Metrics &metrics)
{
    for (std::size_t member = 0; member <= entryMetricsLimits.m_members; ++member) {
        for (std::size_t profile = 0; profile <= entryMetricsLimits.m_profiles; ++profile)
            use(metrics.series(account(member), route(profile)));
    }
    for (std::size_t counter = 0; counter < counterCount; ++counter)
        metrics.assign(static_cast<Counter>(counter), manyBytes);
    for (std::size_t gauge = 0; gauge < gaugeCount; ++gauge)
        metrics.set(static_cast<Gauge>(gauge), static_cast<std::int64_t>(manyRequests));
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the page of metrics of a busy entry process")
{
    // Guards against a metrics page that, when it is read, fills the link of a slow VM and delays
    // the answers to callers.
    Metrics metrics(entryMetricsLimits);
    useAll(metrics);
    const std::string page = metrics.expose();
    CAPTURE(page.size());
    CHECK(page.size() < maxEntryMetricsPageBytes);

    SECTION("still tells for each route how many were within the promise")
    {
        for (std::size_t number = 0; number < entryMetricsLimits.m_profiles; ++number) {
            const std::string label = fmt::format("profile=\"{}\"", route(number).text());
            for (const char *sample :
                 {"gypsumdale_time_to_first_token_seconds_bucket{{{},le=\"0.35\"}} ",
                  "gypsumdale_time_between_tokens_seconds_bucket{{{},le=\"0.051\"}} ",
                  "gypsumdale_request_seconds_bucket{{{},le=\"+Inf\"}} ",
                  "gypsumdale_request_seconds_sum{{{}}} ",
                  "gypsumdale_request_seconds_count{{{}}} ",
                  "gypsumdale_requests_outcome_unknown_total{{{}}} "}) {
                const std::string text = fmt::format(fmt::runtime(sample), label);
                CAPTURE(text);
                CHECK(contains(page, "\n" + text));
            }
        }
    }

    SECTION("and for each account")
    {
        for (std::size_t number = 0; number < entryMetricsLimits.m_members; ++number) {
            const std::string label = fmt::format("member=\"{}\"", account(number).text());
            for (const char *sample :
                 {"gypsumdale_member_time_to_first_token_seconds_bucket{{{},le=\"0.35\"}} ",
                  "gypsumdale_member_time_between_tokens_seconds_bucket{{{},le=\"0.051\"}} ",
                  "gypsumdale_member_request_seconds_bucket{{{},le=\"+Inf\"}} ",
                  "gypsumdale_member_request_seconds_sum{{{}}} ",
                  "gypsumdale_member_request_seconds_count{{{}}} ",
                  "gypsumdale_member_requests_done_total{{{}}} "}) {
                const std::string text = fmt::format(fmt::runtime(sample), label);
                CAPTURE(text);
                CHECK(contains(page, "\n" + text));
            }
        }
    }
}
