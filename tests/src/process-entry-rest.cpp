#include "support/arrival_times.hpp"
#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration rest = 3s;
/// Requests may still arrive for this time after an upstream has asked for rest.
constexpr Duration underWay = 500ms;
constexpr std::size_t mostInRest = 2;
constexpr Duration callPause = 20ms;

/// One VM before upstreams that can turn requests away and ask for rest.
struct RestingWorld : EntryWorld
{
    explicit RestingWorld(std::size_t upstreams)
        : EntryWorld(1, false, std::nullopt, std::vector<std::string>(upstreams, "v1"))
        , m_arrivals(upstreams)
    {}

    void turnAway(std::size_t index)
    {
        upstream(index).behave(
                [this, index](const HttpRequest &, HttpResponder &responder, HttpHeaders headers) {
                    m_arrivals[index].record();
                    headers.add("Gypsumdale-Not-Executed", "1");
                    headers.add("Retry-After", "3");
                    responder.send({503, headers, ""});
                });
    }

    std::vector<EntryAnswer> callFor(Duration time)
    {
        std::vector<EntryAnswer> answers;
        const Arrival end = ArrivalClock::now() + time;
        while (ArrivalClock::now() < end) {
            answers.push_back(call(node(), "/once/x", fmt::format("r-{}", ++m_sent)));
            std::this_thread::sleep_for(callPause);
        }
        return answers;
    }

    /// Returns how many requests have reached an upstream while it rested for the first time.
    std::size_t arrivedInRest(std::size_t index) const
    {
        const std::vector<Arrival> all = m_arrivals[index].since({});
        REQUIRE_FALSE(all.empty());
        std::size_t count = 0;
        for (const Arrival at : all)
            count += at >= all.front() + underWay && at <= all.front() + rest ? 1 : 0;
        return count;
    }

    std::vector<ArrivalTimes> m_arrivals;

private:
    int m_sent = 0;
};

} // namespace

// Guards against requests to an upstream that turns them away and has asked for rest.
TEST_CASE("an upstream that asks for rest gets none of the requests")
{
    RestingWorld world(3);
    world.turnAway(0);
    for (const EntryAnswer &answer : world.callFor(rest + 500ms))
        CHECK(answer.m_status == 200);
    CHECK(world.arrivedInRest(0) <= mostInRest);
}

// Guards against callers that are held, or come back too early, while all upstreams rest.
TEST_CASE("callers are told when to return while all upstreams rest, and served then")
{
    RestingWorld world(2);
    for (std::size_t index = 0; index < world.upstreamCount(); ++index)
        world.turnAway(index);
    std::vector<EntryAnswer> answers = world.callFor(1s);
    for (std::size_t index = 0; index < world.upstreamCount(); ++index) {
        CHECK(world.arrivedInRest(index) <= mostInRest);
        world.upstream(index).behave(nullptr);
    }
    REQUIRE(answers.size() > 1);
    answers.erase(answers.begin());
    for (const EntryAnswer &answer : answers) {
        CHECK(answer.m_status == 503);
        CHECK(std::stod(std::string(answer.m_headers.value("Retry-After"))) > 1);
    }
    world.waitUntil("a caller is served",
                    [&] { return world.callFor(callPause).front().m_status == 200; });
}
