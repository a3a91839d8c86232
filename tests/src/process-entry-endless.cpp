#include "support/endless_server.hpp"
#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <memory> // make_unique, unique_ptr
#include <string> // string
#include <thread> // jthread, sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

constexpr int deadlineMillis = 2000;
/// Time that an answer may take beyond the deadline on a busy machine.
constexpr Duration slack = 3s;
/// Memory that a process may take for the answers of one test: several callers, whose answers are
/// at most 8 MiB each.
constexpr std::size_t maxGrowth = std::size_t{96} * 1024 * 1024;
constexpr int callersAtOnce = 4;
/// More retries than the test makes.
constexpr int retrySlack = 1000;

const std::string begin = "HTTP/1.1 200 OK\r\nGypsumdale-Request-Id: {id}\r\n"
                          "Gypsumdale-Response-Signature: s\r\n";
const std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
const std::string text(4096, 'a');
const std::string event = "data: " + std::string(400, 'a') + "\n\n";

std::vector<EndlessBytes> endlessAnswers()
{
    return {
            {"endless head of fields", begin, "Name: " + text + "\r\n", 1ms},
            {"endless head of interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
            {"endless head that is no HTTP", "no HTTP", text},
            {"endless body with a length", begin + "Content-Length: 1000000000000\r\n\r\n", text},
            {"endless body of chunks", chunked, "1000\r\n" + text + "\r\n"},
            {"endless body with a chunk extension", chunked + "1;name=", text},
            {"endless body with trailers", chunked + "0\r\n", "Name: " + text + "\r\n"},
            {"endless body with neither", begin + "\r\n", text},
    };
}

bool mayHaveRun(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504");
}

bool isCutOff(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n");
}

/// A VM before an upstream that answers well, and one that answers without an end.
struct EndlessWorld : EntryWorld
{
    explicit EndlessWorld(int nodes = 1, bool hasProxies = false)
        : EntryWorld(nodes, hasProxies, std::nullopt, {"v1"}, retrySlack)
    {
        behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
            responder.send({200, headers, "id: 1\ndata: served\n\n"});
        });
    }

    /// Replaces the endless upstream by another one, which has a name of its own.
    EndlessServer &addEndless(const EndlessBytes &bytes)
    {
        if (m_server)
            removeEndless();
        m_server = std::make_unique<EndlessServer>(bytes);
        m_name = fmt::format("endless-{}", ++m_servers);
        store().put("servers", m_name,
                    {{"service", "app"},
                     {"address", fmt::format("127.0.0.1:{}", m_server->port())},
                     {"zone", "here"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"}});
        const std::string line = fmt::format("\"upstream\":\"{}\"", m_name);
        waitUntil("it is used", [&] { return fullLog(node()).find(line) != std::string::npos; });
        return *m_server;
    }

    void removeEndless()
    {
        store().remove("servers", m_name);
        m_server.reset();
    }

    /// Lets the good upstream leave, so that requests go to the endless one, or return.
    void setGood(bool isReady)
    {
        const std::int64_t revision = announce(upstream(0), isReady ? "ready" : "draining");
        waitUntil("the change is known",
                  [&] { return store().receivedUpstreamRevision("") >= revision; });
    }

    /// Returns all that a caller receives on its connection.
    std::string send(const std::string &target, std::size_t index = 0)
    {
        RawCaller caller;
        caller.connect(node(index).m_callerPort);
        caller.write(fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                                 "Gypsumdale-Request-Id: r-{}\r\nGypsumdale-Deadline-Ms: {}\r\n"
                                 "Authorization: Bearer key\r\nConnection: close\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 target, ++m_sent, deadlineMillis));
        return caller.readToEnd();
    }

    /// Sends a request of several callers at once, and returns the answers.
    std::vector<std::string> sendAtOnce(const std::string &target)
    {
        std::vector<std::string> answers(callersAtOnce);
        std::vector<std::jthread> callers;
        callers.reserve(answers.size());
        for (std::string &answer : answers)
            callers.emplace_back([this, &target, &answer] { answer = send(target); });
        callers.clear();
        return answers;
    }

    bool isServed() { return send("/again/x").find("data: served") != std::string::npos; }

    std::unique_ptr<EndlessServer> m_server;

private:
    std::string m_name;
    int m_servers = 0;
    std::atomic<int> m_sent = 0;
};

void checkClosed(const EndlessServer &server)
{
    for (int wait = 0; wait < 300 && server.openConnections() > 0; ++wait)
        std::this_thread::sleep_for(10ms);
    CHECK(server.openConnections() == 0);
    CHECK(server.givenUp() == 0);
}

} // namespace

// Guards against callers that wait, memory that grows, and answers that say "not run", while an
// upstream sends bytes that are no answer.
TEST_CASE("an endless head or endless body of an upstream ends as a run of unknown outcome")
{
    EndlessWorld world;
    world.setGood(false);
    const std::size_t before = world.node().m_process->peakMemory();
    for (const EndlessBytes &bytes : endlessAnswers()) {
        for (const std::string target : {"/once/x", "/draft/x"}) {
            CAPTURE(bytes.m_name, target);
            EndlessServer &server = world.addEndless(bytes);
            const auto beganAt = std::chrono::steady_clock::now();
            for (const std::string &answer : world.sendAtOnce(target))
                CHECK(mayHaveRun(answer));
            CHECK(std::chrono::steady_clock::now() - beganAt
                  < std::chrono::milliseconds(deadlineMillis) + slack);
            checkClosed(server);
            CHECK(server.requests() >= callersAtOnce);
        }
    }
    CHECK(world.node().m_process->peakMemory() < before + maxGrowth);
    world.removeEndless();
    world.setGood(true);
    CHECK(world.isServed());
}

// Guards against requests that fail although another upstream answers.
TEST_CASE(
        "a request that may be repeated is served elsewhere after an endless head or endless body")
{
    EndlessWorld world;
    for (const EndlessBytes &bytes : endlessAnswers()) {
        CAPTURE(bytes.m_name);
        EndlessServer &server = world.addEndless(bytes);
        for (int number = 0; number < 20 && server.requests() == 0; ++number)
            CHECK(world.isServed());
        CHECK(server.requests() > 0);
        checkClosed(server);
    }
}

// Guards against streams that never end, or whose end looks regular.
TEST_CASE("a stream with an endless body is cut off at its deadline, or within an endless event")
{
    const bool movesRuns = GENERATE(true, false);
    const bool hasEvents = GENERATE(true, false);
    CAPTURE(movesRuns, hasEvents);
    EndlessWorld world;
    if (!movesRuns)
        world.configureWithoutMoves(2);
    world.setGood(false);
    const std::string head = begin + "Content-Type: text/event-stream\r\n\r\n" + event;
    EndlessServer &server = world.addEndless({"stream", head, hasEvents ? event : text, 1ms});
    const auto beganAt = std::chrono::steady_clock::now();
    for (const std::string target : {"/draft/x", "/stream/x"}) {
        CAPTURE(target);
        const std::string answer = world.send(target);
        CHECK(isCutOff(answer));
        CHECK(answer.size() < std::size_t{8} * 1024 * 1024);
    }
    CHECK(std::chrono::steady_clock::now() - beganAt
          < 2 * (std::chrono::milliseconds(deadlineMillis) + slack));
    checkClosed(server);
    world.removeEndless();
    world.setGood(true);
    CHECK(world.isServed());
}

// Guards against exchanges with peers that never end or take the memory of the process.
TEST_CASE("an endless head or endless body of a peer's frame doesn't disturb a VM")
{
    EndlessWorld world(2);
    const std::size_t before = world.node().m_process->peakMemory();
    world.node(1).m_process->send(SIGKILL);
    world.waitUntil("it has ended", [&] { return world.node(1).m_process->exited(); });
    const std::vector<EndlessBytes> frames = {
            {"longer than allowed", "", std::string(4096, '\xff')},
            {"within the limit", std::string("\x00\x7f\xff\xff", 4), text},
            {"within the limit and slow", std::string("\x00\x7f\xff\xff", 4), text, 1ms},
    };
    for (const EndlessBytes &bytes : frames) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes, world.node(1).m_peerPort);
        world.waitUntil("several exchanges have failed", [&] { return server.requests() >= 3; });
        CHECK(world.isServed());
        CHECK(server.givenUp() == 0);
    }
    CHECK(world.node().m_process->peakMemory() < before + maxGrowth);
}

// Guards against a relayed request that is said not to have run, or whose caller waits.
TEST_CASE("an endless head or endless body of a relay ends as a run of unknown outcome")
{
    const EndlessBytes bytes = GENERATE(from_range(endlessAnswers()));
    CAPTURE(bytes.m_name);
    EndlessWorld world(2, true);
    world.separatePaths(0);
    world.setNewConnections(0, NewConnections::Refused);
    world.waitUntil("requests are relayed", [&] { return world.isServed(); });
    world.node(1).m_process->send(SIGKILL);
    world.waitUntil("it has ended", [&] { return world.node(1).m_process->exited(); });
    EndlessServer server(bytes, world.node(1).m_relayPort);
    CHECK(mayHaveRun(world.send("/once/x")));
    checkClosed(server);
    CHECK(server.requests() == 1);
    world.setNewConnections(0, NewConnections::Accepted);
    world.waitUntil("requests are served again", [&] { return world.isServed(); });
}

// Guards against a store that stops a VM, takes its memory, or isn't read again.
TEST_CASE("an endless head or endless body of the store doesn't disturb a VM")
{
    EndlessWorld world(1, true);
    const std::size_t before = world.node().m_process->peakMemory();
    FaultProxy &link = *world.node().m_storeLink;
    const std::uint16_t storePort = world.store().openPortFor(world.node().m_name);
    for (const EndlessBytes &bytes : endlessAnswers()) {
        CAPTURE(bytes.m_name);
        EndlessServer server(bytes);
        link.redirect(server.port());
        world.waitUntil("it was read", [&] { return server.requests() >= 2; });
        CHECK(world.isServed());
        link.redirect(storePort);
        CHECK(server.givenUp() == 0);
    }
    CHECK(world.node().m_process->peakMemory() < before + maxGrowth);
    world.configure(2, {"key"});
    world.waitUntil("the store is read again", [&] {
        return world.fullLog(world.node()).find("\"config_version\":2") != std::string::npos;
    });
}
