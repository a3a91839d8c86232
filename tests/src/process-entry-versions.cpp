#include "support/version_world.hpp"

#include <catch2/catch.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <csignal> // SIGKILL
#include <deque> // deque
#include <set> // set
#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int streamCount = 8;
/// Events that an upstream sends before it breaks off, unless a case sets another number.
constexpr int eventsBeforeBreak = 2;

bool isRunOf(const HttpRequest &request, const std::string &id)
{
    return request.m_headers.value("Gypsumdale-Request-Id") == id;
}

/// Returns the number of streams with events of several software versions.
int mixedCount(const std::deque<StreamCaller> &callers)
{
    int mixed = 0;
    for (const StreamCaller &caller : callers)
        mixed += caller.received().m_versions.size() > 1 ? 1 : 0;
    return mixed;
}

int wholeCount(const std::deque<StreamCaller> &callers)
{
    int whole = 0;
    for (const StreamCaller &caller : callers)
        whole += caller.received().m_isWhole && !caller.received().m_hasGap ? 1 : 0;
    return whole;
}

} // namespace

// Guards against a stream that goes on within its answer at another software version.
TEST_CASE("an answer goes on only at the software version that began it")
{
    VersionWorld world(1, {"v1", "v2", "v1", "v2"});
    world.m_eventsPerRun = lastEvent / 2;
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        callers.emplace_back("/stream/x");
        callers.back().attempt(world.node().m_callerPort, fmt::format("r-{}", number));
    }
    CHECK(mixedCount(callers) == 0);
    CHECK(wholeCount(callers) == streamCount);
}

// Guards against a stream that goes on at another software version because its own is gone.
TEST_CASE("a stream is cut when no upstream of its software version is left")
{
    VersionWorld world(1, {"v1", "v2"});
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        callers.emplace_back("/stream/x");
        const std::uint16_t port = world.node().m_callerPort;
        callers.back().attempt(port, fmt::format("r-{}", number));
        CHECK(callers.back().received().m_lastEvent == eventsBeforeBreak);
    }
    CHECK(mixedCount(callers) == 0);
    CHECK(wholeCount(callers) == 0);
}

// Guards against a stream that its client takes up at another VM and that goes on at another
// software version, or not at all.
TEST_CASE("a stream that is taken up at any VM goes on at the software version that began it")
{
    VersionWorld world(3, {"v1", "v2", "v1", "v2"});
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        world.m_eventsPerRun = 1;
        caller.attempt(world.node(0).m_callerPort, fmt::format("r-{}", number));
        caller.attempt(world.node(1).m_callerPort, fmt::format("r-{}-again", number));
        CHECK_FALSE(caller.received().m_isWhole);
        world.m_eventsPerRun = lastEvent;
        caller.attempt(world.node(2).m_callerPort, fmt::format("r-{}-last", number));
    }
    CHECK(mixedCount(callers) == 0);
    CHECK(wholeCount(callers) == streamCount);
}

// Guards against streams that can't be taken up, or go on at another software version, once the VM
// that began them is dead.
TEST_CASE("streams of a VM that was killed go on at the software versions that began them")
{
    VersionWorld world(3, {"v1", "v2", "v1", "v2"});
    world.m_staysOpen = true;
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        REQUIRE(caller.begin(world.node(0).m_callerPort, fmt::format("r-{}", number)));
    }
    world.node(0).m_process->send(SIGKILL);
    world.m_staysOpen = false;
    world.m_eventsPerRun = lastEvent;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers[static_cast<std::size_t>(number)];
        caller.finish();
        const auto node = static_cast<std::size_t>(1 + number % 2);
        caller.attempt(world.node(node).m_callerPort, fmt::format("r-{}-again", number));
    }
    CHECK(mixedCount(callers) == 0);
    // Half as often as new streams begin.
    CHECK(2 * wholeCount(callers) >= streamCount);
}

// Guards against streams that can't be taken up because their VM knew no live peer as they began.
TEST_CASE("streams of a VM that was cut off from its peers for a while go on after its death")
{
    VersionWorld world(3, {"v1", "v2", "v1", "v2"});
    const auto setPeerLinks = [&world](LinkFault fault) {
        for (std::size_t node = 0; node < world.nodeCount(); ++node)
            world.node(node).m_peerLink->set(fault);
    };
    const auto logged = [&world](const std::string &event) {
        const std::string log = world.fullLog(world.node(0));
        std::size_t count = 0;
        for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1))
            ++count;
        return count;
    };
    setPeerLinks(LinkFault::Silence);
    world.waitUntil("it hears of no peer", [&] { return logged("\"peer-silent\"") == 2; });
    world.m_staysOpen = true;
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        REQUIRE(caller.begin(world.node(0).m_callerPort, fmt::format("r-{}", number)));
    }
    setPeerLinks(LinkFault::None);
    world.waitUntil("it hears of them", [&] { return logged("\"peer-heard-again\"") == 2; });
    world.waitUntil("the records are sent", [&] {
        return world.fullLog(world.node(0)).find("\"stream-origins-sent-late\"")
               != std::string::npos;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    world.node(0).m_process->send(SIGKILL);
    world.m_staysOpen = false;
    world.m_eventsPerRun = lastEvent;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers[static_cast<std::size_t>(number)];
        caller.finish();
        const auto node = static_cast<std::size_t>(1 + number % 2);
        caller.attempt(world.node(node).m_callerPort, fmt::format("r-{}-again", number));
    }
    CHECK(mixedCount(callers) == 0);
    // Half as often as new streams begin.
    CHECK(2 * wholeCount(callers) >= streamCount);
}

// Guards against a VM that guesses, where it can't learn the software version that began a stream.
TEST_CASE("a VM that can't know a stream's software version rejects it as not run")
{
    VersionWorld world(2, {"v1", "v2"});
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        caller.attempt(world.node(0).m_callerPort, fmt::format("r-{}", number));
    }
    // The processes that know are gone.
    for (const std::size_t index : {0, 1})
        world.node(index).m_process->send(SIGKILL);
    for (const std::size_t index : {0, 1}) {
        world.start(world.node(index));
        world.waitUntil("it is back", [&] { return world.isReady(world.node(index)); });
    }
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers[static_cast<std::size_t>(number)];
        const std::string id = fmt::format("r-{}-again", number);
        CHECK(caller.attempt(world.node(1).m_callerPort, id) == 503);
        CHECK(caller.lastAnswer().find("Retry-After: ") != std::string::npos);
        for (std::size_t index = 0; index < world.upstreamCount(); ++index) {
            for (const HttpRequest &request : world.upstream(index).seen())
                CHECK_FALSE(isRunOf(request, id));
        }
    }
    CHECK(mixedCount(callers) == 0);
}

// Guards against a relay that goes on with a stream at another software version.
TEST_CASE("a stream of a VM that is cut off goes on at the software version that began it")
{
    VersionWorld world(3, {"v1", "v2", "v1", "v2"});
    world.separatePaths(0);
    world.setNewConnections(0, NewConnections::Refused);
    world.m_eventsPerRun = lastEvent;
    world.waitUntil("it relays", [&] {
        StreamCaller caller("/stream/x");
        return caller.attempt(world.node(0).m_callerPort, "early") == 200;
    });
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        world.m_eventsPerRun = 1;
        caller.attempt(world.node(0).m_callerPort, fmt::format("r-{}", number));
        CHECK_FALSE(caller.received().m_isWhole);
        world.m_eventsPerRun = lastEvent;
        const auto node = static_cast<std::size_t>(number % 2);
        caller.attempt(world.node(node).m_callerPort, fmt::format("r-{}-again", number));
    }
    CHECK(mixedCount(callers) == 0);
    CHECK(wholeCount(callers) == streamCount);
}

// Guards against streams that go on at an address where an upstream of another version stands now.
TEST_CASE("a stream does not go on at an upstream that took the address of its own")
{
    VersionWorld world(2, {"v1", "v1"});
    std::deque<StreamCaller> callers;
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers.emplace_back("/stream/x");
        caller.attempt(world.node(0).m_callerPort, fmt::format("r-{}", number));
    }
    for (std::size_t index = 0; index < world.upstreamCount(); ++index)
        world.replaceUpstream(index, "v2");
    for (int number = 0; number < streamCount; ++number) {
        StreamCaller &caller = callers[static_cast<std::size_t>(number)];
        caller.attempt(world.node(1).m_callerPort, fmt::format("r-{}-again", number));
    }
    CHECK(mixedCount(callers) == 0);
}

// Guards against a run whose memory is moved to an upstream of another software version.
TEST_CASE("a run is moved only to an upstream of its software version")
{
    EntryWorld world(1, true, std::nullopt, {"v1", "v2", "v2"});
    std::atomic<bool> isMoveAsked = false;
    for (std::size_t index = 0; index < world.upstreamCount(); ++index) {
        const std::string version = world.versionOf(world.upstream(index));
        world.upstream(index).behave([&, version](const HttpRequest &request,
                                                  HttpResponder &responder,
                                                  const HttpHeaders &headers) {
            if (request.m_target == "/-/kv-move") {
                isMoveAsked = true;
                responder.send({200, {}, R"({"handle":"h7","create-rev":1})"});
                return;
            }
            responder.begin(200, headers);
            const int first = resumedAfter(request) + 1;
            responder.write(versionEvent(version, first));
            // Longer than the time between the notice of a leaving and the move.
            for (int wait = 0; wait < 200 && !isMoveAsked && first == 1; ++wait)
                sleepFiber(std::chrono::milliseconds(10));
            if (first == 1 && isMoveAsked) {
                responder.abandon();
                return;
            }
            responder.write(versionEvent(version, first + 1));
            responder.finish();
        });
    }
    const auto announceOthers = [&world](const std::string &state) {
        std::int64_t revision = 0;
        for (std::size_t index = 1; index < world.upstreamCount(); ++index)
            revision = world.announce(world.upstream(index), state);
        world.waitUntil("it is known", [&] {
            return world.store().receivedUpstreamRevision(world.node().m_name) >= revision;
        });
    };
    announceOthers("draining");
    StreamCaller caller("/draft/x");
    REQUIRE(caller.begin(world.node().m_callerPort, "r-1"));
    announceOthers("ready");
    world.announce(world.upstream(0), "draining");
    caller.finish();
    CHECK(caller.received().m_versions == std::set<std::string>{"v1"});
    CHECK(caller.received().m_isWhole);
    CHECK_FALSE(isMoveAsked);
}
