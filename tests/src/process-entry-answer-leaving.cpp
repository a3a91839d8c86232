#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // milliseconds
#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds leavingApply = 500ms;
constexpr int requestsToReachAll = 30;
const std::string event = "id: 1\ndata: a\n\n";

/// When the first upstream says that it leaves.
enum class LeavingFrom {
    Later,
};

void answerWithEvent(const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers)
{
    responder.send({200, headers, event});
}

/// VMs before two upstreams, of which the first says in its answers that it leaves, while its entry
/// in the store still says that it is ready.
struct AnswerLeavingWorld : EntryWorld
{
    explicit AnswerLeavingWorld(const std::string &target = "/once/x")
        : EntryWorld(2, false, leavingApply)
        , m_target(target)
    {
        letLeave();
        for (std::size_t index = 0; index < nodeCount(); ++index)
            callNode(index, "first");
    }

    /// The same with paths that can be disturbed, where the first upstream doesn't leave yet.
    explicit AnswerLeavingWorld(LeavingFrom)
        : EntryWorld(2, true)
        , m_target("/once/x")
    {
        behave(answerWithEvent);
    }

    void letLeave()
    {
        behave(answerWithEvent);
        upstream(0).behave([](const HttpRequest &, HttpResponder &responder, HttpHeaders headers) {
            headers.add("Server-Leaving", "1");
            responder.send({200, headers, event});
        });
    }

    /// Calls a VM several times. Returns whether all calls succeeded.
    bool callNode(std::size_t index, const std::string &prefix)
    {
        bool areServed = true;
        for (int number = 0; number < requestsToReachAll; ++number) {
            const std::string id = fmt::format("{}-{}-{}", prefix, index, number);
            areServed = areServed && call(node(index), m_target, id).m_status == 200;
        }
        return areServed;
    }

    /// Returns the number of requests of a prefix that have reached the first upstream.
    int arrived(const std::string &prefix)
    {
        int count = 0;
        for (const HttpRequest &request : upstream(0).seen())
            count += request.m_headers.value("Gypsumdale-Request-Id").starts_with(prefix) ? 1 : 0;
        return count;
    }

private:
    std::string m_target;
};

} // namespace

// Guards against requests to an upstream that has said in an answer that it leaves.
TEST_CASE("no request reaches an upstream after its answer said that it leaves")
{
    const std::string target = GENERATE("/once/x", "/again/x", "/draft/x", "/stream/x");
    CAPTURE(target);
    AnswerLeavingWorld world(target);
    CHECK(world.arrived("first") > 0);
    std::this_thread::sleep_for(leavingApply);
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        CHECK(world.callNode(index, "later"));
    CHECK(world.arrived("later") == 0);
}

// Guards against a restarted process that places requests at an upstream that leaves.
TEST_CASE("a process that starts hears from its peers which upstreams leave")
{
    AnswerLeavingWorld world;
    world.node(0).m_process->send(SIGKILL);
    world.waitUntil("ended", [&] { return world.node(0).m_process->exited(); });
    world.start(world.node(0));
    world.waitUntil("ready again", [&] { return world.isReady(world.node(0)); });
    world.waitUntil("it is told", [&] {
        const std::string log = world.fullLog(world.node(0));
        return log.find("upstream-says-leaving", log.rfind("\"event\":\"started\""))
               != std::string::npos;
    });
    CHECK(world.callNode(0, "later"));
    CHECK(world.arrived("later") == 0);
}

// Guards against an upstream that stays out of use after it was started again.
TEST_CASE("an upstream that has started again is used")
{
    AnswerLeavingWorld world;
    world.upstream(0).behave(nullptr);
    world.announce(world.upstream(0), "ready", 1'700'000'000'000);
    world.waitUntil("it is used", [&] {
        world.callNode(0, "again");
        return world.arrived("again") > 0;
    });
}

// Guards against a VM that passed the word on in a relayed answer and then does not keep to it.
TEST_CASE("a VM keeps to what an upstream said in an answer that a peer relayed")
{
    AnswerLeavingWorld world(LeavingFrom::Later);
    world.separatePaths(0);
    world.setNewConnections(0, NewConnections::Refused);
    world.waitUntil("a peer relays", [&] {
        world.callNode(0, "cut-off");
        return world.fullLog(world.node(0)).find("request-relayed") != std::string::npos;
    });
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        world.node(index).m_peerLink->set(LinkFault::Silence);
    world.letLeave();
    CHECK(world.callNode(0, "relayed"));
    CHECK(world.arrived("relayed") == 1);
    world.setNewConnections(0, NewConnections::Accepted);
    world.waitUntil("it reaches the upstreams itself", [&] {
        return world.fullLog(world.node(0)).find("service-reached") != std::string::npos;
    });
    CHECK(world.callNode(0, "later"));
    CHECK(world.arrived("later") == 0);
}
