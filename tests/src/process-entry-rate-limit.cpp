#include "support/arrival_times.hpp"
#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <string> // string
#include <thread> // sleep_for, thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr double limitPerSecond = 2;
/// Time in which the VMs have to keep to a limit that was named, and the window for which it holds.
constexpr Duration learningTime = 3s;
constexpr Duration window = 4s;
/// Within a window: half more than the limit, and a few requests.
constexpr std::size_t mostInWindow = 17;
constexpr Duration callPause = 10ms;

/// VMs before upstreams that can name a limit of their request rate.
struct LimitedWorld : EntryWorld
{
    explicit LimitedWorld(std::size_t upstreams)
        : EntryWorld(3, false, std::nullopt, std::vector<std::string>(upstreams, "v1"))
        , m_arrivals(upstreams)
    {}

    /// Lets an upstream name a limit in all its answers, or none.
    void setLimit(std::size_t index, const std::string &limit)
    {
        upstream(index).behave([this, index, limit](const HttpRequest &, HttpResponder &responder,
                                                    HttpHeaders headers) {
            m_arrivals[index].record();
            if (!limit.empty())
                headers.add("Server-Limit", limit);
            responder.send({200, headers, "ok"});
        });
    }

    /// Calls all VMs in turn for a time. Returns the answers.
    std::vector<EntryAnswer> callFor(Duration time)
    {
        std::vector<std::vector<EntryAnswer>> answers(nodeCount());
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < nodeCount(); ++index) {
            callers.emplace_back([this, index, time, &answers] {
                const Arrival end = ArrivalClock::now() + time;
                while (ArrivalClock::now() < end) {
                    const std::string id = fmt::format("r-{}", ++m_sent);
                    answers[index].push_back(call(node(index), "/once/x", id));
                    std::this_thread::sleep_for(callPause);
                }
            });
        }
        std::vector<EntryAnswer> all;
        for (std::size_t index = 0; index < nodeCount(); ++index) {
            callers[index].join();
            all.insert(all.end(), answers[index].begin(), answers[index].end());
        }
        return all;
    }

    std::vector<ArrivalTimes> m_arrivals;

private:
    std::atomic<int> m_sent = 0;
};

} // namespace

// Guards against an upstream in need that gets more requests than the rate that its answers name.
TEST_CASE("the VMs together keep to the request rate that an upstream names")
{
    LimitedWorld world(3);
    for (std::size_t index = 0; index < world.upstreamCount(); ++index)
        world.setLimit(index, index == 0 ? fmt::format("{}", limitPerSecond) : std::string());
    const Arrival begin = ArrivalClock::now();
    const std::vector<EntryAnswer> answers = world.callFor(learningTime + 3 * window);
    const std::vector<Arrival> limited = world.m_arrivals[0].since(begin + learningTime);
    CHECK(mostWithin(limited, window) <= mostInWindow);
    CHECK(limited.size() >= 3);
    for (const EntryAnswer &answer : answers)
        CHECK(answer.m_status == 200);
}

// Guards against callers that are held or told nothing while all upstreams are limited, and against
// upstreams that stay out of use after their limits have ended.
TEST_CASE("callers are rejected at once while all upstreams are limited, and served again after")
{
    LimitedWorld world(2);
    for (std::size_t index = 0; index < world.upstreamCount(); ++index)
        world.setLimit(index, fmt::format("{}", limitPerSecond));
    const Arrival begin = ArrivalClock::now();
    const std::vector<EntryAnswer> answers = world.callFor(learningTime + window);
    std::size_t served = 0;
    for (const EntryAnswer &answer : answers) {
        served += answer.m_status == 200 ? 1 : 0;
        if (answer.m_status == 200)
            continue;
        CHECK(answer.m_status == 503);
        CHECK_FALSE(answer.m_headers.value("Retry-After").empty());
    }
    CHECK(served >= 4);
    CHECK(served < answers.size());
    for (const ArrivalTimes &arrivals : world.m_arrivals)
        CHECK(mostWithin(arrivals.since(begin + learningTime), window) <= mostInWindow);

    for (std::size_t index = 0; index < world.upstreamCount(); ++index)
        world.setLimit(index, "");
    world.waitUntil("all callers are served", [&] {
        bool isServed = true;
        for (const EntryAnswer &answer : world.callFor(200ms))
            isServed = isServed && answer.m_status == 200;
        return isServed;
    });
}
