#include "support/soak_settings.hpp"
#include "support/stop_soak.hpp"
#include "support/stop_soak_judge.hpp"
#include "support/stop_soak_load.hpp"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm> // max
#include <csignal> // SIGHUP, SIGTERM
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t callerCount = 24;
constexpr std::size_t waveCallerCount = 60;
constexpr std::size_t lateCallerCount = 16;
constexpr std::size_t busyThreadCount = 4;
/// Forecasts exist where a VM has lived longer than the timeout of a route.
constexpr std::uint64_t longLifeMillis = 20000;
constexpr std::uint64_t minSeconds = 34;

/// Pauses, but no longer than until the soak is over.
void pauseWhileOn(const StopSoak &soak, std::uint64_t millis)
{
    for (std::uint64_t paused = 0; paused < millis && !soak.m_isOver; paused += 20)
        pauseMillis(20);
}

/// Stops a VM, sometimes with a SIGHUP before or behind the signal, and starts it again.
void stopAndStart(StopSoak &soak, std::size_t index, std::uint64_t delayMillis, std::uint64_t seed)
{
    pcg32 random(seed, 10 + index);
    EntryWorld::EntryNode &node = soak.m_world.node(index);
    pauseMillis(delayMillis);
    if (random(2) == 0)
        node.m_process->send(SIGHUP);
    soak.noteSignal(index);
    node.m_process->send(SIGTERM);
    if (random(4) == 0) {
        pauseMillis(random(4000));
        node.m_process->send(SIGHUP);
    }
    while (!node.m_process->exited())
        pauseMillis(5);
    soak.m_world.start(node);
}

void setAllSlow(StopSoak &soak, bool isSlow)
{
    for (std::size_t upstream = 0; upstream < StopSoak::upstreamCount; ++upstream)
        soak.m_streams.setSlow(upstream, isSlow);
}

/// Stops one to all VMs at once or within a second, again and again: a third of the times after
/// they have lived long, else soon after they began. A wave of requests may go to one of them.
void stopVms(StopSoak &soak)
{
    pcg32 random(soak.m_seed, 10);
    for (bool isFirst = true; !soak.m_isOver; isFirst = false) {
        const bool isLong = isFirst || random(2) == 0;
        pauseWhileOn(soak, isLong ? longLifeMillis + random(2000) : 1000 + random(8000));
        if (soak.m_isOver)
            break;
        const std::size_t nodes = soak.m_world.nodeCount();
        const std::size_t first = random(static_cast<unsigned>(nodes));
        const std::size_t count = 1 + random(static_cast<unsigned>(nodes));
        std::vector<std::thread> stops;
        for (std::size_t number = 0; number < count; ++number)
            stops.emplace_back(stopAndStart, std::ref(soak), (first + number) % nodes,
                               number == 0 ? 0 : random(1000), random());
        // A wave that begins later is refused; of one that begins now, short streams have ended
        // when the last requests arrive, and long ones haven't.
        pauseMillis(500 + random(1500));
        soak.raiseWave(first, random);
        setAllSlow(soak, random(2) == 0);
        for (std::thread &stop : stops)
            stop.join();
        setAllSlow(soak, false);
    }
}

/// Lets waves of requests go to any VM, whether it stops or not.
void raiseWaves(StopSoak &soak)
{
    pcg32 random(soak.m_seed, 11);
    while (!soak.m_isOver) {
        pauseWhileOn(soak, 4000 + random(6000));
        soak.raiseWave(random(static_cast<unsigned>(soak.m_world.nodeCount())), random);
    }
}

/// Adds a route every few seconds. Callers use it when all VMs must have its configuration.
void addRoutes(StopSoak &soak)
{
    constexpr std::uint64_t applyMillis = 2000;
    pcg32 random(soak.m_seed, 12);
    while (!soak.m_isOver) {
        pauseWhileOn(soak, 1000 + random(6000));
        soak.addRoute();
        pauseMillis(applyMillis);
        soak.useAddedRoutes();
    }
}

/// Slows part of the upstreams down for some seconds, now and then.
void slowUpstreams(StopSoak &soak)
{
    pcg32 random(soak.m_seed, 13);
    while (!soak.m_isOver) {
        pauseWhileOn(soak, 3000 + random(6000));
        for (std::size_t upstream = 0; upstream < StopSoak::upstreamCount; ++upstream)
            soak.m_streams.setSlow(upstream, random(2) == 0);
        pauseWhileOn(soak, 2000 + random(3000));
        setAllSlow(soak, false);
    }
}

void keepBusy(const StopSoak &soak)
{
    volatile std::uint64_t count = 0;
    while (!soak.m_isOver)
        count = count + 1;
}

std::vector<std::thread> startThreads(StopSoak &soak)
{
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < callerCount; ++number)
        threads.emplace_back([&soak, number] { sendUntilOver(soak, number); });
    for (std::size_t number = 0; number < waveCallerCount; ++number)
        threads.emplace_back([&soak, number] { sendInWaves(soak, number); });
    for (std::size_t node = 0; node < soak.m_world.nodeCount(); ++node) {
        for (std::size_t number = 0; number < lateCallerCount; ++number)
            threads.emplace_back([&soak, node, number] { sendLateInStops(soak, node, number); });
    }
    for (void (*disturb)(StopSoak &) : {stopVms, raiseWaves, addRoutes, slowUpstreams})
        threads.emplace_back([&soak, disturb] { disturb(soak); });
    const std::size_t busyThreads = soak.m_seed % 3 == 0 ? busyThreadCount : 0;
    for (std::size_t number = 0; number < busyThreads; ++number)
        threads.emplace_back([&soak] { keepBusy(soak); });
    return threads;
}

std::string countsOf(const SoakVerdict &verdict)
{
    std::string text;
    for (const auto &[fate, count] : verdict.m_counts)
        text += fmt::format(", {} {}", enumName(fateNames, fate), count);
    return text;
}

int countOf(const SoakVerdict &verdict, StreamFate fate)
{
    const auto found = verdict.m_counts.find(fate);
    return found == verdict.m_counts.end() ? 0 : found->second;
}

} // namespace

// Guards against requests that are lost around planned stops that overlap, by each way in which
// they reach a VM.
TEST_CASE("streams that run once are whole or refused while VMs are stopped")
{
    constexpr std::uint64_t logMillis = 500;
    StopSoak soak(soakNodes(), soakSeed());
    std::vector<std::thread> threads = startThreads(soak);
    pauseMillis(1000 * std::max<std::uint64_t>(soakSeconds(), minSeconds));
    soak.m_isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    pauseMillis(logMillis);
    const SoakVerdict verdict = StopSoakJudge(soak).judge();
    WARN("seed " << soak.m_seed << countsOf(verdict));
    CHECK(verdict.m_faults == std::vector<std::string>());
    CHECK(verdict.m_unlogged == std::vector<std::string>());
    CHECK(countOf(verdict, StreamFate::Whole) > 0);
    CHECK(countOf(verdict, StreamFate::Refused) > 0);
}
