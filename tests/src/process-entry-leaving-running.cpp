#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <string> // string
#include <thread> // sleep_for, thread

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

// Guards against cancelling a request that its upstream has received and is working on.
TEST_CASE("a request that runs as its upstream says that it leaves is answered by it")
{
    constexpr std::chrono::milliseconds leavingApply = 1000ms;
    const std::string body(300'000, 'b');
    const std::string answerBody(300'000, 'a');
    EntryWorld world(1, true, leavingApply);
    std::atomic<bool> mayAnswer = false;
    world.upstream(0).behave(
            [&](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
                while (!mayAnswer)
                    sleepFiber(10ms);
                responder.send({200, headers, answerBody});
            });
    world.store().remove("servers", world.upstream(1).id());
    world.waitUntil("only one upstream is known", [&] {
        return world.fullLog(world.node()).find("upstream-left") != std::string::npos;
    });
    EntryAnswer answer;
    std::thread caller(
            [&] { answer = world.callWith(world.node(), "/once/x", "r-once", body, 20000); });
    world.waitUntil("it runs", [&] { return world.upstream(0).seen().size() == 1; });

    world.announce(world.upstream(1), "ready");
    const std::int64_t left = world.announce(world.upstream(0), "draining");
    world.waitUntil("it is known", [&] {
        return world.store().receivedUpstreamRevision(world.node().m_name) >= left;
    });
    std::this_thread::sleep_for(2 * leavingApply);
    mayAnswer = true;
    caller.join();

    CHECK(answer.m_status == 200);
    CHECK(answer.m_body == answerBody);
    CHECK(answer.m_headers.value("Gypsumdale-Response-Signature") == "u-1");
    CHECK(world.upstream(0).seen().size() == 1);
    CHECK(world.upstream(1).seen().empty());
}
