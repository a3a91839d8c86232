#include "support/soak_settings.hpp"
#include "support/version_world.hpp"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <csignal> // SIGCONT, SIGKILL, SIGSTOP
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <thread> // sleep_for, thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t callerCount = 8;
constexpr int attemptsPerStream = 6;
constexpr std::array<const char *, 3> versions = {"v1", "v2", "v3"};

void pause(unsigned millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

struct Soak
{
    Soak(std::size_t nodes, std::uint64_t seed)
        : m_seed(seed)
        , m_world(static_cast<int>(nodes), {"v1", "v2", "v1", "v2", "v3", "v3"})
    {}

    std::uint64_t m_seed;
    VersionWorld m_world;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_whole = 0;
    std::atomic<int> m_mixed = 0;
    std::atomic<int> m_gaps = 0;
    std::atomic<int> m_takenUp = 0;
    std::atomic<int> m_goneOn = 0;
};

/// Reads one stream, taking it up at VMs drawn at random.
void readStream(Soak &soak, pcg32 &random, const std::string &name)
{
    StreamCaller caller("/stream/x");
    for (int attempt = 0; attempt < attemptsPerStream && !caller.received().m_isWhole; ++attempt) {
        const std::size_t node = random(static_cast<unsigned>(soak.m_world.nodeCount()));
        const int before = caller.received().m_lastEvent;
        caller.attempt(soak.m_world.node(node).m_callerPort, fmt::format("{}-{}", name, attempt));
        soak.m_takenUp += before > 0 ? 1 : 0;
        soak.m_goneOn += before > 0 && caller.received().m_lastEvent > before ? 1 : 0;
        pause(random(40));
    }
    soak.m_whole += caller.received().m_isWhole ? 1 : 0;
    soak.m_mixed += caller.received().m_versions.size() > 1 ? 1 : 0;
    soak.m_gaps += caller.received().m_hasGap ? 1 : 0;
}

void readUntilOver(Soak &soak, std::size_t number)
{
    pcg32 random(soak.m_seed, 100 + number);
    for (int stream = 0; !soak.m_isOver; ++stream)
        readStream(soak, random, fmt::format("c{}-{}", number, stream));
}

void replaceUpstreams(Soak &soak)
{
    pcg32 random(soak.m_seed, 1);
    while (!soak.m_isOver) {
        const std::size_t index = random(static_cast<unsigned>(soak.m_world.upstreamCount()));
        soak.m_world.replaceUpstream(index, versions.at(random(3)));
        pause(300 + random(900));
    }
}

void killAndStart(EntryWorld &world, EntryWorld::EntryNode &node)
{
    node.m_process->send(SIGKILL);
    while (!node.m_process->exited())
        pause(5);
    world.start(node);
}

/// Kills all VMs at once, and starts them again in any order.
void killFleet(EntryWorld &world)
{
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        world.node(index).m_process->send(SIGKILL);
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        killAndStart(world, world.node(index));
}

/// Kills or pauses one VM after the other, and now and then all of them.
void disturbVms(Soak &soak)
{
    pcg32 random(soak.m_seed, 2);
    while (!soak.m_isOver) {
        pause(random(1200));
        if (random(8) == 0) {
            killFleet(soak.m_world);
            continue;
        }
        EntryWorld::EntryNode &node =
                soak.m_world.node(random(static_cast<unsigned>(soak.m_world.nodeCount())));
        if (random(2) == 0) {
            node.m_process->send(SIGSTOP);
            pause(100 + random(800));
            node.m_process->send(SIGCONT);
            continue;
        }
        killAndStart(soak.m_world, node);
    }
}

/// Cuts one VM after the other off from its peers, or from the store so that its list is old.
void disturbLinks(Soak &soak)
{
    constexpr std::array faults = {LinkFault::Silence, LinkFault::Reset, LinkFault::CutFromTarget};
    pcg32 random(soak.m_seed, 3);
    while (!soak.m_isOver) {
        EntryWorld::EntryNode &node =
                soak.m_world.node(random(static_cast<unsigned>(soak.m_world.nodeCount())));
        FaultProxy &link = random(2) == 0 ? *node.m_peerLink : *node.m_storeLink;
        link.set(faults.at(random(3)));
        pause(200 + random(2500));
        link.set(LinkFault::None);
        pause(random(500));
    }
}

/// Holds back what one upstream, or all of them, send. What was held back arrives later.
void silenceUpstreams(Soak &soak)
{
    pcg32 random(soak.m_seed, 4);
    const auto count = static_cast<unsigned>(soak.m_world.upstreamCount());
    while (!soak.m_isOver) {
        const unsigned first = random(count);
        const unsigned silent = random(3) == 0 ? count : 1;
        const auto set = [&](LinkFault fault) {
            for (unsigned index = 0; index < silent; ++index)
                soak.m_world.upstreamLink((first + index) % count).set(fault);
        };
        set(LinkFault::CutFromTarget);
        pause(500 + random(2500));
        set(LinkFault::None);
        pause(500 + random(1000));
    }
}

} // namespace

// Guards against streams with events of two software versions under combined faults.
TEST_CASE("streams of several software versions are never mixed while everything around them fails")
{
    Soak soak(soakNodes(), soakSeed());
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < callerCount; ++number)
        threads.emplace_back([&, number] { readUntilOver(soak, number); });
    threads.emplace_back([&] { replaceUpstreams(soak); });
    threads.emplace_back([&] { disturbVms(soak); });
    threads.emplace_back([&] { disturbLinks(soak); });
    threads.emplace_back([&] { silenceUpstreams(soak); });
    std::this_thread::sleep_for(std::chrono::seconds(soakSeconds()));
    soak.m_isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    WARN("seed " << soak.m_seed << ": whole " << soak.m_whole << ", taken up " << soak.m_takenUp
                 << ", gone on " << soak.m_goneOn);
    CHECK(soak.m_mixed == 0);
    CHECK(soak.m_gaps == 0);
    CHECK(soak.m_whole > 0);
    CHECK(soak.m_goneOn > 0);
}
