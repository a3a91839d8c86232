#include "support/silent_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm> // count_if, max
#include <chrono> // milliseconds
#include <csignal> // SIGCONT, SIGSTOP, SIGTERM
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int nodeCount = 3;
constexpr int streamCount = 36;
/// Fewer than the upstreams have slots.
constexpr int relayedCount = 18;
/// Longer than a VM waits before it tries a stream elsewhere, and shorter than
/// callers wait.
constexpr std::chrono::milliseconds silence(2300);
constexpr int retrySlack = 60;

/// Makes requests at the VMs in turn, all at once. Returns how many had a success.
int servedAtOnce(SilentWorld &world, const std::string &target, int count)
{
    std::vector<EntryAnswer> answers(static_cast<std::size_t>(count));
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < answers.size(); ++number) {
        callers.emplace_back([&, number] {
            answers[number] = world.call(world.node(number % world.nodeCount()), target,
                                         fmt::format("r-{}", number));
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    return static_cast<int>(std::ranges::count_if(
            answers, [](const EntryAnswer &answer) { return answer.m_status == 200; }));
}

int mostRuns(SilentWorld &world)
{
    int most = 0;
    for (const auto &[request, runs] : world.runs())
        most = std::max(most, runs);
    return most;
}

} // namespace

// Guards against streams that are cut at a stop because all upstreams were silent for a while.
TEST_CASE("streams are whole after all upstreams were silent within them")
{
    SilentWorld world(nodeCount);
    BegunStreams streams(world, streamCount);
    world.setAllSilent(true);
    world.node(0).m_process->send(SIGTERM);
    std::this_thread::sleep_for(silence);
    world.setAllSilent(false);
    CHECK(streams.finish() == streamCount);
}

// Guards against a VM that takes its own standstill for the silence of its upstreams.
TEST_CASE("streams are whole after their VM stood still")
{
    SilentWorld world(1, retrySlack);
    BegunStreams streams(world, relayedCount);
    // They have much left to send when the VM is stopped.
    world.setAllSilent(true);
    world.node().m_process->send(SIGSTOP);
    world.setAllSilent(false);
    std::this_thread::sleep_for(silence);
    world.node().m_process->send(SIGCONT);
    CHECK(streams.finish() == relayedCount);
    CHECK(mostRuns(world) == 1);
}

// Guards against requests that are given up because all upstreams were silent when they came.
TEST_CASE("requests are answered after all upstreams were silent before their answers")
{
    SilentWorld world(nodeCount);
    const std::string target = GENERATE("/stream/x", "/again/x");
    world.setAllSilent(true);
    std::thread end([&world] {
        std::this_thread::sleep_for(silence);
        world.setAllSilent(false);
    });
    CHECK(servedAtOnce(world, target, streamCount) == streamCount);
    end.join();
}

// Guards against retries that are spent on upstreams which are as silent as the first one.
TEST_CASE("no second run is sent while all upstreams are silent")
{
    SilentWorld world(nodeCount, retrySlack);
    BegunStreams streams(world, streamCount);
    world.standStill(silence);
    CHECK(streams.finish() == streamCount);
    CHECK(mostRuns(world) == 1);
}

// Guards against a stream that stays at a silent upstream although another one would go on.
TEST_CASE("streams of a silent upstream go on at another one, and their first runs end")
{
    SilentWorld world(nodeCount, retrySlack);
    BegunStreams streams(world, streamCount);
    const int held = world.running(1);
    REQUIRE(held > 0);
    world.setSilent(1, true);
    CHECK(streams.finish() == streamCount);
    CHECK(mostRuns(world) == 2);
    world.waitUntil("the silent runs have ended", [&] { return world.running(1) == 0; });
}

// Guards against a request without a stream that waits for a silent upstream until its deadline.
TEST_CASE("requests of a silent upstream are answered by another one")
{
    SilentWorld world(1, retrySlack);
    // The other upstreams are known to speak.
    REQUIRE(servedAtOnce(world, "/again/x", streamCount) == streamCount);
    world.setSilent(1, true);
    CHECK(servedAtOnce(world, "/again/y", streamCount / 2) == streamCount / 2);
    world.waitUntil("the silent runs have ended", [&] { return world.running(1) == 0; });
}

// Guards against a stream that is given up for a second run which then delivers nothing.
TEST_CASE("a stream goes on at its silent upstream if that speaks before the second run")
{
    SilentWorld world(1, retrySlack);
    StreamCaller caller("/stream/x");
    REQUIRE(caller.begin(world.node().m_callerPort, "r-x"));
    std::size_t own = 0;
    while (world.running(own) == 0)
        ++own;
    world.setAllSilent(true);
    world.waitUntil("a second run waits", [&] { return world.runs()["r-x"] == 2; });
    world.setSilent(own, false);
    caller.finish();
    CHECK(caller.received().m_isWhole);
    CHECK_FALSE(caller.received().m_hasGap);
    for (std::size_t index = 0; index < SilentWorld::upstreams; ++index)
        world.waitUntil("no run is left", [&] { return world.running(index) == 0; });
    CHECK(world.runs()["r-x"] == 2);
    const std::string log = world.fullLog(world.node());
    CHECK(log.find("\"attempt\":2") != std::string::npos);
    CHECK(log.find("\"event\":\"run-silent\"") != std::string::npos);
    CHECK(log.find("\"event\":\"silence-ended\"") != std::string::npos);
}

// Guards against streams of a VM that is cut off, which are cut because its relay's upstream was
// silent.
TEST_CASE("relayed streams are whole after all upstreams were silent within them")
{
    SilentWorld world(nodeCount);
    world.separatePaths(0);
    world.setNewConnections(0, NewConnections::Refused);
    world.waitUntil("it relays", [&] {
        return world.call(world.node(0), "/stream/early", "early").m_status == 200;
    });
    BegunStreams streams(world, relayedCount);
    world.standStill(silence);
    CHECK(streams.finish() == relayedCount);
}
