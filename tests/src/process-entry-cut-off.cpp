#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>

#include <atomic> // atomic
#include <csignal> // SIGKILL, SIGTERM
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// First tries that may fail until a VM knows that it is cut off.
constexpr int requestsUntilKnown = 10;
constexpr int requestsPerKind = 5;

/// Lets all upstreams answer with an event, so that the answer is whole on each kind of route.
void answerWithEvents(EntryWorld &world)
{
    world.behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.send({200, headers, "id: 1\ndata: served\n\n"});
    });
}

bool isServed(EntryWorld &world, std::size_t node, const std::string &target, const std::string &id)
{
    const EntryAnswer answer = world.call(world.node(node), target, id);
    return answer.m_status == 200 && answer.m_body == "id: 1\ndata: served\n\n";
}

/// Returns the number of served first tries at a VM, out of five of each kind of request.
int servedAt(EntryWorld &world, std::size_t node, const std::string &prefix)
{
    int served = 0;
    for (const std::string target : {"/again/x", "/once/x", "/draft/x", "/stream/x"}) {
        for (int number = 0; number < requestsPerKind; ++number) {
            const std::string id = fmt::format("{}{}-{}", prefix, target, number);
            served += isServed(world, node, target, id) ? 1 : 0;
        }
    }
    return served;
}

/// Cuts a VM off from all upstreams, and sends it requests until it serves one, or has had its
/// time.
void cutOff(EntryWorld &world, std::size_t node, NewConnections mode)
{
    world.setNewConnections(node, mode);
    for (int number = 0; number < requestsUntilKnown; ++number) {
        if (isServed(world, node, "/once/x", fmt::format("early-{}-{}", node, number)))
            return;
    }
}

} // namespace

// Guards against callers of a VM that is cut off from all upstreams being refused while other VMs
// serve theirs.
TEST_CASE("first tries at a VM that is cut off from all upstreams are served as at the others")
{
    const auto mode = GENERATE(NewConnections::Refused, NewConnections::Unanswered);
    EntryWorld world(3, true);
    answerWithEvents(world);
    world.separatePaths(0);
    REQUIRE(isServed(world, 0, "/once/x", "before"));

    cutOff(world, 0, mode);
    const int atOthers = servedAt(world, 1, "others");
    CHECK(atOthers == 4 * requestsPerKind);
    CHECK(3 * servedAt(world, 0, "cut-off") >= 2 * atOthers);

    world.setNewConnections(0, NewConnections::Accepted);
    CHECK(servedAt(world, 0, "back") == servedAt(world, 2, "others-later"));
}

namespace {

/// Three VMs, of which the first is cut off and knows it.
struct CutOffWorld : EntryWorld
{
    CutOffWorld()
        : EntryWorld(3, true)
    {
        answerWithEvents(*this);
        separatePaths(0);
        cutOff(*this, 0, NewConnections::Refused);
    }

    std::size_t runsOf(const std::string &id)
    {
        std::size_t runs = 0;
        for (const std::size_t index : {0, 1}) {
            for (const HttpRequest &request : upstream(index).seen())
                runs += request.m_headers.value("Gypsumdale-Request-Id") == id ? 1 : 0;
        }
        return runs;
    }

    std::string rawRequest(const std::string &target, const std::string &id) const
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                           "Gypsumdale-Deadline-Ms: 20000\r\nAuthorization: Bearer key\r\n"
                           "Content-Length: 4\r\n\r\nbody",
                           target, id);
    }

    /// Returns the VM that relays a request that is under way.
    std::size_t relayOf(const std::string &id)
    {
        const std::string line = fmt::format("\"request\":\"{}\"", id);
        for (const std::size_t index : {1, 2}) {
            if (fullLog(node(index)).find(line) != std::string::npos)
                return index;
        }
        FAIL("no VM relays " << id);
        return 0;
    }
};

} // namespace

TEST_CASE("an upstream gets a relayed request as it would get any other")
{
    CutOffWorld world;
    REQUIRE(isServed(world, 0, "/once/x?y=1", "relayed"));
    for (const std::size_t index : {0, 1}) {
        for (const HttpRequest &request : world.upstream(index).seen()) {
            if (request.m_headers.value("Gypsumdale-Request-Id") != "relayed")
                continue;
            CHECK(request.m_target == "/once/x?y=1");
            CHECK(request.m_body == "body");
            CHECK(request.m_headers.value("Gypsumdale-Tenant") == "huber");
            CHECK_FALSE(request.m_headers.find("Authorization"));
            CHECK_FALSE(request.m_headers.find("Relay-Config-Version"));
            const std::string deadline(request.m_headers.value("Gypsumdale-Deadline-Ms"));
            CHECK(std::stoi(deadline) <= 5000);
        }
    }
    CHECK(world.call(world.node(0), "/nowhere/", "r-1").m_status == 404);
    CHECK(world.call(world.node(0), "/once/x", "r-2", "other").m_status == 401);
}

// Guards against a second run of a request whose relay died after it had passed the request on.
TEST_CASE("a request whose relay dies is never sent again nor called not run")
{
    CutOffWorld world;
    world.behave([](const HttpRequest &, HttpResponder &, HttpHeaders) {
        sleepFiber(std::chrono::seconds(20));
    });
    EntryAnswer answer;
    std::thread caller([&] { answer = world.call(world.node(0), "/once/x", "r-1"); });
    world.waitUntil("it is sent", [&] { return world.runsOf("r-1") == 1; });
    world.waitUntil("the relay has logged it", [&] {
        return world.fullLog(world.node(1)).find("r-1") != std::string::npos
               || world.fullLog(world.node(2)).find("r-1") != std::string::npos;
    });
    world.node(world.relayOf("r-1")).m_process->send(SIGKILL);
    caller.join();
    CHECK(answer.m_status == 502);
    CHECK(world.runsOf("r-1") == 1);
}

// Guards against work that goes on for a caller who has left, one VM further away.
TEST_CASE("a caller who leaves ends the work of a relayed request")
{
    CutOffWorld world;
    std::atomic<bool> sawEnd = false;
    world.behave([&sawEnd](const HttpRequest &, HttpResponder &responder, HttpHeaders) {
        responder.onCallerGone([&sawEnd] { sawEnd = true; });
        for (int wait = 0; wait < 2000 && !sawEnd; ++wait)
            sleepFiber(std::chrono::milliseconds(10));
        responder.onCallerGone(nullptr);
    });
    RawCaller caller;
    REQUIRE(caller.connect(world.node(0).m_callerPort));
    caller.write(world.rawRequest("/once/x", "r-1"));
    world.waitUntil("it is sent", [&] { return world.runsOf("r-1") == 1; });
    caller.close();
    world.waitUntil("the upstream sees it", [&] { return sawEnd.load(); });
}

// Guards against events of a stream that wait at a relay.
TEST_CASE("events of a relayed stream are passed on as they come")
{
    CutOffWorld world;
    std::atomic<bool> isFirstRead = false;
    world.behave([&](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.begin(200, headers);
        responder.write("id: 1\ndata: first\n\n");
        for (int wait = 0; wait < 1000 && !isFirstRead; ++wait)
            sleepFiber(std::chrono::milliseconds(10));
        responder.write(isFirstRead ? "id: 2\ndata: second\n\n" : "id: 2\ndata: late\n\n");
        responder.finish();
    });
    RawCaller caller;
    REQUIRE(caller.connect(world.node(0).m_callerPort));
    caller.write(world.rawRequest("/draft/x", "r-1"));
    CHECK(caller.readUntil("data: first").find("200 OK") != std::string::npos);
    isFirstRead = true;
    CHECK(caller.readUntil("0\r\n\r\n").find("data: second") != std::string::npos);
}

namespace {

/// Sends a VM what an account with a quota may send at once, and returns how much is served.
int servedOfBurst(EntryWorld &world)
{
    int served = 0;
    for (int number = 0; number < EntryWorld::limitedBurst; ++number) {
        const std::string id = fmt::format("r-{}", number);
        const EntryAnswer answer = world.call(world.node(0), "/once/x", id, EntryWorld::limitedKey);
        served += answer.m_status == 200 ? 1 : 0;
    }
    return served;
}

} // namespace

// Guards against a quota that is charged at both VMs, so that half of it is refused.
TEST_CASE("the quota is charged once for a relayed request")
{
    int servedDirectly = 0;
    {
        EntryWorld world(3, true);
        answerWithEvents(world);
        servedDirectly = servedOfBurst(world);
    }
    CutOffWorld world;
    CHECK(servedDirectly > 0);
    CHECK(servedOfBurst(world) >= servedDirectly);
}

// Guards against requests that end with their relay's planned stop.
TEST_CASE("a relay that is stopped finishes the requests of its peers")
{
    CutOffWorld world;
    std::atomic<bool> isReleased = false;
    world.behave([&](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        for (int wait = 0; wait < 2000 && !isReleased; ++wait)
            sleepFiber(std::chrono::milliseconds(10));
        responder.send({200, headers, "id: 1\ndata: served\n\n"});
    });
    EntryAnswer answer;
    std::thread caller([&] { answer = world.call(world.node(0), "/once/x", "r-1"); });
    world.waitUntil("it is sent", [&] { return world.runsOf("r-1") == 1; });
    world.waitUntil("the relay has logged it", [&] {
        return world.fullLog(world.node(1)).find("r-1") != std::string::npos
               || world.fullLog(world.node(2)).find("r-1") != std::string::npos;
    });
    const std::size_t relay = world.relayOf("r-1");
    world.node(relay).m_process->send(SIGTERM);
    world.waitUntil("it drains", [&] {
        return world.fullLog(world.node(relay)).find("\"draining\"") != std::string::npos;
    });
    isReleased = true;
    caller.join();
    CHECK(answer.m_status == 200);
    // New ones go to the other VM.
    for (int number = 0; number < 5; ++number)
        CHECK(isServed(world, 0, "/once/x", fmt::format("later-{}", number)));
}

// Guards against requests that travel between VMs that are all cut off, and against holding what
// nobody can serve.
TEST_CASE("a request that no VM can place is rejected as not run")
{
    CutOffWorld world;
    for (const std::size_t index : {1, 2}) {
        world.separatePaths(index);
        cutOff(world, index, NewConnections::Refused);
    }
    const EntryAnswer answer = world.call(world.node(0), "/once/x", "r-1");
    CHECK(answer.m_status == 503);
    CHECK_FALSE(answer.m_headers.value("Retry-After").empty());
    CHECK_FALSE(answer.m_headers.find("Relay-Refused"));
    CHECK(world.runsOf("r-1") == 0);

    world.setNewConnections(1, NewConnections::Accepted);
    world.waitUntil("one VM reaches the upstreams again",
                    [&] { return isServed(world, 1, "/once/x", "r-2"); });
    world.waitUntil("and relays for the others",
                    [&] { return isServed(world, 0, "/once/x", "r-3"); });
}

// Guards against relays that are avoided, until none is left, because upstreams broke off.
TEST_CASE("a relay is not held responsible for a stream that its upstream breaks off")
{
    CutOffWorld world;
    std::atomic<bool> breaksOff = true;
    world.behave([&](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.begin(200, headers);
        responder.write("id: 1\ndata: served\n\n");
        if (breaksOff)
            responder.abandon();
        else
            responder.finish();
    });
    for (int number = 0; number < 6; ++number)
        CHECK_FALSE(isServed(world, 0, "/draft/x", fmt::format("broken-{}", number)));
    breaksOff = false;
    CHECK(isServed(world, 0, "/draft/x", "whole"));
}
