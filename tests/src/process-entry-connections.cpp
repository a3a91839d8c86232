#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm> // max
#include <atomic> // atomic
#include <map> // map
#include <string> // string
#include <thread> // jthread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// The VM counts eight VMs while it has just started, so it has two connections to each upstream.
constexpr int connectionLimit = 16;
constexpr int connectionShare = 2;
constexpr auto workTime = std::chrono::milliseconds(100);

/// A VM before upstreams that end connections over a limit, which is lower than what one VM may
/// use by itself.
struct LimitedWorld : EntryWorld
{
    LimitedWorld()
    {
        Json config = configuration(2, {"key"});
        config["services"][0]["max-connections"] = connectionLimit;
        config["services"][0].erase("engine");
        store().put("config", "main", config);
        waitUntil("it is used", [this] {
            return fullLog(node()).find("\"config_version\":2") != std::string::npos;
        });
        behave([this](const HttpRequest &request, HttpResponder &responder, HttpHeaders headers) {
            const std::string id(headers.value("Gypsumdale-Response-Signature"));
            const int open = ++m_open[id];
            m_mostOpen = std::max(m_mostOpen.load(), open);
            if (open > connectionShare) {
                ++m_ended;
                responder.abandon();
            } else {
                sleepFiber(workTime);
                responder.send({200, std::move(headers), request.m_body});
            }
            --m_open[id];
        });
    }

    /// Sends requests at the same time and returns how many answers had each status.
    std::map<int, int> sendAtOnce(int count, const std::string &target)
    {
        std::vector<EntryAnswer> answers(count);
        {
            std::vector<std::jthread> callers;
            for (int number = 0; number < count; ++number) {
                callers.emplace_back([&, number] {
                    answers[number] = call(node(), target, fmt::format("r-{}", number));
                });
            }
        }
        std::map<int, int> statuses;
        for (const EntryAnswer &answer : answers) {
            ++statuses[answer.m_status];
            if (answer.m_status == 503)
                CHECK(answer.m_headers.find("Retry-After").has_value());
        }
        return statuses;
    }

    std::atomic<int> m_mostOpen = 0;
    std::atomic<int> m_ended = 0;

private:
    /// Used by the fibers of one loop.
    std::map<std::string, int> m_open;
};

} // namespace

// Guards against a 502 for a request that must not run twice, as its upstream ended a connection
// over the limit.
TEST_CASE("requests beyond an upstream's connections wait, or are rejected as not run")
{
    LimitedWorld world;
    std::map<int, int> statuses = world.sendAtOnce(40, "/once/x");
    INFO("200: " << statuses[200] << ", 503: " << statuses[503] << ", 502: " << statuses[502]
                 << ", ended: " << world.m_ended);
    CHECK(world.m_mostOpen <= connectionShare);
    CHECK(world.m_ended == 0);
    CHECK(statuses[200] + statuses[503] == 40);
    // Four at once, and one more that waited for each of them.
    CHECK(statuses[200] >= 5);
    CHECK(statuses[503] >= 1);
    const std::string log = world.fullLog(world.node());
    CHECK(log.find("\"event\":\"no-connection\"") != std::string::npos);
}
