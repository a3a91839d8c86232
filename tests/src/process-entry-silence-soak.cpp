#include "support/silent_world.hpp"
#include "support/soak_settings.hpp"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds, seconds
#include <csignal> // SIGTERM
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <mutex> // lock_guard, mutex
#include <set> // erase_if, set
#include <sstream> // istringstream
#include <string> // getline, stod, string
#include <thread> // sleep_for, thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t callerCount = 12;
constexpr int soakRetrySlack = 20;
/// Grace time of the VMs' settings.
constexpr double graceSeconds = 6;
/// Longer than the delay of a second run; shorter than what callers and stops leave time for.
constexpr unsigned maxSilenceMillis = 2500;
/// Time in which the upstreams speak between two silences, so that streams end.
constexpr unsigned minSpeechMillis = 1000;

void pause(unsigned millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

struct Soak
{
    Soak(std::size_t nodes, std::uint64_t seed)
        : m_seed(seed)
        , m_world(static_cast<int>(nodes), soakRetrySlack)
    {}

    std::uint64_t m_seed;
    SilentWorld m_world;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_served = 0;
    /// Requests whose answer says that they may have run.
    std::atomic<int> m_unknown = 0;
    std::mutex m_mutex;
    std::set<std::string> m_unanswered;
    /// Streams that ended without their rest, or with a gap.
    std::set<std::string> m_cut;
};

void readStream(Soak &soak, const EntryWorld::EntryNode &node, const std::string &id)
{
    StreamCaller caller("/stream/x");
    const int status = caller.attempt(node.m_callerPort, id);
    const ReceivedStream &received = caller.received();
    const bool isWhole = received.m_isWhole && !received.m_hasGap;
    soak.m_served += status == 200 && isWhole ? 1 : 0;
    soak.m_unknown += status == 502 || status == 504 ? 1 : 0;
    const std::lock_guard lock(soak.m_mutex);
    if (status == 0)
        soak.m_unanswered.insert(id);
    if (status == 200 && !isWhole)
        soak.m_cut.insert(id);
}

void readUntilOver(Soak &soak, std::size_t number)
{
    pcg32 random(soak.m_seed, 100 + number);
    for (int stream = 0; !soak.m_isOver; ++stream) {
        const std::size_t node = random(static_cast<unsigned>(soak.m_world.nodeCount()));
        readStream(soak, soak.m_world.node(node), fmt::format("c{}-{}", number, stream));
        pause(random(60));
    }
}

/// Lets one upstream after the other stand still, two at once, or all.
void silenceUpstreams(Soak &soak)
{
    pcg32 random(soak.m_seed, 1);
    while (!soak.m_isOver) {
        const unsigned first = random(SilentWorld::upstreams);
        const unsigned count = 1 + random(SilentWorld::upstreams);
        for (unsigned index = 0; index < count; ++index)
            soak.m_world.setSilent((first + index) % SilentWorld::upstreams, true);
        pause(200 + random(maxSilenceMillis - 200));
        soak.m_world.setAllSilent(false);
        pause(minSpeechMillis + random(500));
    }
}

/// Stops and starts one VM after the other.
void stopVms(Soak &soak)
{
    pcg32 random(soak.m_seed, 2);
    while (!soak.m_isOver) {
        pause(random(1500));
        EntryWorld::EntryNode &node =
                soak.m_world.node(random(static_cast<unsigned>(soak.m_world.nodeCount())));
        node.m_process->send(SIGTERM);
        while (!node.m_process->exited())
            pause(5);
        soak.m_world.start(node);
    }
}

/// Returns the time of day of a line of the log.
double secondsOf(const std::string &line)
{
    // "time":"2026-12-05T06:19:58.144Z"
    const std::size_t at = line.find('T', line.find("\"time\":")) + 1;
    return 3600 * std::stod(line.substr(at, 2)) + 60 * std::stod(line.substr(at + 3, 2))
           + std::stod(line.substr(at + 6, 6));
}

/// Returns whether a stop cancelled a request, in the last sixth of its grace time, and its
/// upstream had not ended its run by then.
bool isOverGrace(const std::string &log, const std::string &id)
{
    double stoppedAt = 0;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        if (line.find("\"event\":\"draining\"") != std::string::npos)
            stoppedAt = secondsOf(line);
        const bool isCancelled =
                line.find(fmt::format("\"request\":\"{}\"", id)) != std::string::npos
                && line.find("\"error_name\":\"cancelled\"") != std::string::npos;
        if (isCancelled && stoppedAt > 0)
            return secondsOf(line) - stoppedAt >= graceSeconds * 5 / 6;
    }
    return false;
}

/// Returns the streams that were cut, without those that outlasted the stop of their VM.
std::set<std::string> lostStreams(Soak &soak)
{
    std::set<std::string> lost = soak.m_cut;
    for (std::size_t index = 0; index < soak.m_world.nodeCount(); ++index) {
        const std::string log = soak.m_world.fullLog(soak.m_world.node(index));
        std::erase_if(lost, [&log](const std::string &id) { return isOverGrace(log, id); });
    }
    return lost;
}

/// Returns the number of requests that got no answer although an upstream has seen them.
std::size_t lostCount(Soak &soak)
{
    const std::map<std::string, int> runs = soak.m_world.runs();
    std::size_t lost = 0;
    for (const std::string &id : soak.m_unanswered)
        lost += runs.contains(id) ? 1 : 0;
    return lost;
}

} // namespace

// Guards against streams that are lost in silences of upstreams, around stops of VMs.
TEST_CASE("streams are whole while upstreams stand still and VMs are stopped")
{
    Soak soak(soakNodes(), soakSeed());
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < callerCount; ++number)
        threads.emplace_back([&, number] { readUntilOver(soak, number); });
    threads.emplace_back([&] { silenceUpstreams(soak); });
    threads.emplace_back([&] { stopVms(soak); });
    pause(static_cast<unsigned>(1000 * soakSeconds()));
    soak.m_isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    WARN("seed " << soak.m_seed << ": served " << soak.m_served << ", second runs ended "
                 << soak.m_world.abandonedRuns());
    CHECK(lostStreams(soak) == std::set<std::string>());
    CHECK(soak.m_unknown == 0);
    CHECK(lostCount(soak) == 0);
    CHECK(soak.m_served > 0);
}
