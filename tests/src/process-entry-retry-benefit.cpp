#include "support/entry_world.hpp"

#include <gypsumdale/serving/retry_benefit.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstddef> // size_t
#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int requests = 30;

/// A VM before two upstreams that answer each request with an error.
struct FailingWorld : EntryWorld
{
    FailingWorld()
        : EntryWorld(1, false, std::nullopt, {"v1", "v1"}, 1000)
    {
        behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
            responder.send({500, headers, "failed"});
        });
    }

    std::size_t runs() { return upstream(0).seen().size() + upstream(1).seen().size(); }

    /// Sends requests one after the other, and returns how many runs they have had.
    std::size_t runsOf(const std::string &target)
    {
        const std::size_t before = runs();
        for (int number = 0; number < requests; ++number) {
            const std::string id = fmt::format("{}-{}", target, number);
            CHECK(call(node(), target, id).m_status == 500);
        }
        return runs() - before;
    }
};

} // namespace

// Guards against the capacity that second runs of requests cost that fail everywhere.
TEST_CASE("errors that a second run doesn't help against are answered at once")
{
    FailingWorld world;
    const std::size_t runs = world.runsOf("/again/x");
    CHECK(runs >= requests + RetryBenefit::minSecondRuns);
    CHECK(runs <= requests + RetryBenefit::minSecondRuns + requests / 10);
    const std::string log = world.fullLog(world.node());
    CHECK(log.find("\"reason\":\"too-few-samples\"") != std::string::npos);
    world.waitUntil("the reason is logged", [&] {
        return world.fullLog(world.node()).find("\"reason\":\"rarely-helps\"") != std::string::npos;
    });
}

// Guards against a decision that reaches requests which may not be repeated, and streams.
TEST_CASE("other requests are run as often as before")
{
    FailingWorld world;
    CHECK(world.runsOf("/once/x") == requests);
    CHECK(world.runsOf("/draft/x") == requests);
    CHECK(world.runsOf("/stream/x") == 2 * requests);
}
