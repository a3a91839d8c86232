#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"
#include "support/timed_streams.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <csignal> // SIGTERM
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";
/// Events of a stream that lasts 4 s. Begun when connections are no longer accepted, 2.6 s after
/// the signal, it outlasts the stop, which ends after 5.3 s.
constexpr int longStream = 40;

std::string headOf(std::string_view target, std::string_view id, std::string_view framing)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                       "Authorization: Bearer key\r\n{}\r\n\r\n",
                       target, id, framing);
}

std::string requestOf(std::string_view target, std::string_view id)
{
    return headOf(target, id, "Content-Length: 4") + "body";
}

std::string draft(int events)
{
    return fmt::format("/draft/{}", events);
}

void stop(EntryWorld &world)
{
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
}

void waitUntilClosed(EntryWorld &world)
{
    world.waitUntil("it accepts no connections", [&] {
        RawCaller probe;
        return !probe.connect(world.node().m_callerPort);
    });
}

void waitUntilEnded(EntryWorld &world)
{
    world.waitUntil("it has ended", [&] { return world.node().m_process->exited(); });
    CHECK(world.node().m_process->exitStatus() == 0);
    CHECK(world.fullLog(world.node()).find("request-cut-by-stop") == std::string::npos);
}

void checkNotBegun(EntryWorld &world, std::string_view id, const std::string &answer)
{
    INFO(id << " was answered with: " << answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(idsSeen(world).contains(std::string(id)));
}

/// A stream of half a second.
constexpr int briefStream = 5;

/// Lets the process learn how long a route's streams take.
void serveSome(EntryWorld &world, const std::string &target)
{
    std::vector<RawCaller> callers(4);
    int number = 0;
    for (RawCaller &caller : callers) {
        REQUIRE(caller.connect(world.node().m_callerPort));
        caller.write(requestOf(target, fmt::format("earlier-{}", number++)));
    }
    for (RawCaller &caller : callers) {
        const std::string answer = caller.readUntil(lastChunk);
        CHECK(answer.ends_with(lastChunk));
    }
}

/// Serves a route's streams, all of the same length, for longer than the route's timeout, which a
/// forecast needs.
void learnLengths(EntryWorld &world, const std::string &target)
{
    const auto routeTimeout = std::chrono::milliseconds(5000);
    serveSome(world, target);
    std::this_thread::sleep_for(routeTimeout);
    serveSome(world, target);
}

} // namespace

// Guards against streams that are begun on open connections and cut at the end of the grace time.
TEST_CASE("a process that stops begins no stream on an open connection that outlasts it")
{
    EntryWorld world;
    serveTimedStreams(world);
    std::vector<RawCaller> callers(8);
    stop(world);
    for (RawCaller &caller : callers)
        REQUIRE(caller.connect(world.node().m_callerPort));
    waitUntilClosed(world);
    for (std::size_t number = 0; number < callers.size(); ++number)
        callers[number].write(requestOf(draft(longStream), fmt::format("r-{}", number)));
    for (std::size_t number = 0; number < callers.size(); ++number)
        checkNotBegun(world, fmt::format("r-{}", number), callers[number].readToEnd());
    waitUntilEnded(world);
}

// Guards against streams that are begun when a slow body is whole and cut at the end of the grace
// time.
TEST_CASE("a process that stops begins no stream that outlasts it when its body is whole")
{
    EntryWorld world;
    serveTimedStreams(world);
    RawCaller caller;
    REQUIRE(caller.connect(world.node().m_callerPort));
    caller.write(headOf(draft(longStream), "r-1", "Transfer-Encoding: chunked") + "2\r\nbo\r\n");
    stop(world);
    waitUntilClosed(world);
    caller.write("2\r\ndy\r\n0\r\n\r\n");
    checkNotBegun(world, "r-1", caller.readToEnd());
    waitUntilEnded(world);
}

// Guards against a stream that waits behind another one on its connection, is begun when that one
// has ended, and is cut at the end of the grace time.
TEST_CASE("a process that stops begins no stream behind another one that outlasts it")
{
    constexpr int firstStream = 35;
    EntryWorld world;
    serveTimedStreams(world);
    RawCaller caller;
    REQUIRE(caller.connect(world.node().m_callerPort));
    caller.write(requestOf(draft(firstStream), "r-1"));
    const std::string head = caller.readUntil(headEnd);
    CHECK(head.starts_with("HTTP/1.1 200"));
    caller.write(requestOf(draft(longStream), "r-2"));
    stop(world);
    CHECK(caller.readUntil(lastChunk).ends_with(lastChunk));
    checkNotBegun(world, "r-2", caller.readToEnd());
    waitUntilEnded(world);
}

// Guards against long streams that are begun shortly after the signal and cut at the end of the
// grace time, and against rejecting those that end before it.
TEST_CASE("a process that stops begins the streams that end before it")
{
    // Begun 1.2 s after the signal, it would end 0.3 s late.
    const std::string longTarget = draft(44);
    constexpr int shortStream = 8;
    const std::string shortTarget = fmt::format("/stream/{}", shortStream);
    EntryWorld world;
    serveTimedStreams(world);
    serveSome(world, longTarget);
    serveSome(world, shortTarget);
    stop(world);
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    RawCaller longCaller;
    RawCaller shortCaller;
    REQUIRE(longCaller.connect(world.node().m_callerPort));
    REQUIRE(shortCaller.connect(world.node().m_callerPort));
    longCaller.write(requestOf(longTarget, "r-long"));
    shortCaller.write(requestOf(shortTarget, "r-short"));
    checkNotBegun(world, "r-long", longCaller.readToEnd());
    CHECK(shortCaller.readToEnd().ends_with(lastChunk));
    waitUntilEnded(world);
}

// Guards against a peer's stream that is taken and cut, though other peers could take it.
TEST_CASE("a process that stops passes a relayed stream back that outlasts it")
{
    const std::string target = draft(44);
    constexpr int nodeCount = 2;
    EntryWorld world(nodeCount);
    serveTimedStreams(world);
    serveSome(world, target);
    stop(world);
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    RawCaller peer;
    REQUIRE(peer.connect(world.node().m_relayPort));
    peer.write(requestOf(target, "r-1"));
    const std::string answer = peer.readToEnd();
    checkNotBegun(world, "r-1", answer);
    CHECK(answer.find("Relay-Refused: stopping") != std::string::npos);
    waitUntilEnded(world);
}

// Guards against a stream that is cut at the end of its relay, before the stop of its own VM is
// over or without any.
TEST_CASE("a process that stops passes a relayed stream back at once if it may outlast it")
{
    constexpr int nodeCount = 2;
    EntryWorld world(nodeCount);
    serveTimedStreams(world);
    stop(world);
    // From then on the route's timeout of 5 s is behind the end of the process.
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    RawCaller peer;
    REQUIRE(peer.connect(world.node().m_relayPort));
    peer.write(requestOf(draft(44), "r-1"));
    const std::string answer = peer.readToEnd();
    checkNotBegun(world, "r-1", answer);
    CHECK(answer.find("Relay-Refused: stopping") != std::string::npos);
    waitUntilEnded(world);
}

// Guards against a second run that is begun after a failed one and cut at the end of the grace
// time.
TEST_CASE("a process that stops begins no further attempt that outlasts it")
{
    const auto runTime = std::chrono::milliseconds(3000);
    EntryWorld world;
    world.behave(
            [runTime](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
                sleepFiber(runTime);
                responder.send({200, headers, "whole"});
            });
    // For longer than the route's timeout, which a forecast needs.
    for (const char *id : {"earlier-1", "earlier-2", "earlier-3"}) {
        std::vector<RawCaller> callers(2);
        for (RawCaller &caller : callers) {
            REQUIRE(caller.connect(world.node().m_callerPort));
            caller.write(requestOf("/again/x", id));
        }
        for (RawCaller &caller : callers)
            CHECK(caller.readAnswer().starts_with("HTTP/1.1 200"));
    }
    std::atomic<int> runs = 0;
    world.behave([&runs](const HttpRequest &, HttpResponder &responder, const HttpHeaders &) {
        ++runs;
        sleepFiber(std::chrono::milliseconds(1800));
        responder.abandon();
    });
    stop(world);
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    RawCaller caller;
    REQUIRE(caller.connect(world.node().m_callerPort));
    caller.write(requestOf("/again/x", "r-1"));
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 502"));
    CHECK(runs == 1);
    waitUntilEnded(world);
}

// Guards against streams that are begun late because the last ones of their route were shorter, and
// cut at the end of the grace time.
TEST_CASE("a process that no longer accepts connections begins no stream by the length of others")
{
    const std::string route = GENERATE("/draft/", "/stream/");
    INFO("route " << route);
    const std::string longTarget = route + std::to_string(longStream);
    EntryWorld world;
    serveTimedStreams(world);
    learnLengths(world, route + std::to_string(briefStream));
    RawCaller open;
    RawCaller slow;
    stop(world);
    REQUIRE(open.connect(world.node().m_callerPort));
    REQUIRE(slow.connect(world.node().m_callerPort));
    slow.write(headOf(longTarget, "r-slow", "Transfer-Encoding: chunked") + "2\r\nbo\r\n");
    waitUntilClosed(world);
    open.write(requestOf(longTarget, "r-open"));
    slow.write("2\r\ndy\r\n0\r\n\r\n");
    checkNotBegun(world, "r-open", open.readToEnd());
    checkNotBegun(world, "r-slow", slow.readToEnd());
    waitUntilEnded(world);
}

// Guards against rejecting, late in a stop, what gets a whole answer if a forecast is wrong.
TEST_CASE("a process that no longer accepts connections begins requests that are brief")
{
    EntryWorld world;
    RawCaller caller;
    stop(world);
    REQUIRE(caller.connect(world.node().m_callerPort));
    waitUntilClosed(world);
    caller.write(requestOf("/again/x", "r-1"));
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 200"));
    waitUntilEnded(world);
}
