#include "support/entry_world.hpp"
#include "support/soak_settings.hpp"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <array> // array
#include <csignal> // SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
#include <cstdint> // uint64_t
#include <set> // set
#include <thread> // sleep_for, thread

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr int nodeCount = 3;
constexpr int callerCount = 8;

struct Route
{
    const char *m_path;
    bool m_mayRepeat;
    bool m_isStream;
};

constexpr std::array<Route, 4> routes = {{
        {"/again/x", true, false},
        {"/once/x", false, false},
        {"/draft/x", false, true},
        {"/stream/x", true, true},
}};

constexpr int eventCount = 6;

std::string event(const std::string &id, int number)
{
    return fmt::format("id: {}\ndata: {} of {}\n\n", number, number, id);
}

std::string wholeAnswer(const std::string &id, bool isStream)
{
    if (!isStream)
        return "answer to " + id;
    std::string whole;
    for (int number = 1; number <= eventCount; ++number)
        whole += event(id, number);
    return whole;
}

/// What upstreams ran and callers were told, by request. Shared by all threads of a soak.
class Ledger
{
public:
    void ran(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }

    /// Notes an answer, with what it must be if it is a success.
    void answered(const std::string &id, bool mayRepeat, const std::string &whole,
                  const EntryAnswer &answer)
    {
        const std::lock_guard lock(m_mutex);
        m_answers[id] = {mayRepeat, whole, answer};
        ++m_byStatus[answer.m_status];
    }

    /// Checks every promise on what has been seen so far.
    void check() const
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, answered] : m_answers) {
            const auto found = m_runs.find(id);
            const int runs = found == m_runs.end() ? 0 : found->second;
            const int status = answered.m_answer.m_status;
            INFO("request " << id << ", status " << status << ", ran " << runs << " times");
            const bool isTwice = !answered.m_mayRepeat && runs > 1;
            CHECK_FALSE(isTwice);
            const bool saysNotRun = status == 429 || status == 503;
            const bool isFalselyRefused = saysNotRun && !answered.m_mayRepeat && runs > 0;
            CHECK_FALSE(isFalselyRefused);
            const bool isAnothers = status == 200 && answered.m_answer.m_body != answered.m_whole;
            CHECK_FALSE(isAnothers);
        }
    }

    int count(int status) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_byStatus.find(status);
        return found == m_byStatus.end() ? 0 : found->second;
    }

    std::string summary() const
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const auto &[status, count] : m_byStatus)
            text += fmt::format("{}: {}  ", status, count);
        return text;
    }

private:
    struct Answered
    {
        bool m_mayRepeat = false;
        std::string m_whole;
        EntryAnswer m_answer;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::map<std::string, Answered> m_answers;
    std::map<int, int> m_byStatus;
};

/// Upstreams that refuse, fail, lose answers, fall silent or are slow, each now and then.
class FaultyUpstreams
{
public:
    FaultyUpstreams(EntryWorld &world, Ledger &ledger, std::uint64_t seed)
        : m_ledger(ledger)
        , m_random(seed)
    {
        for (const std::size_t index : {0, 1}) {
            world.upstream(index).behave(
                    [this](const HttpRequest &request, HttpResponder &responder,
                           const HttpHeaders &headers) { answer(request, responder, headers); });
        }
    }

    void calm() { m_isCalm = true; }

private:
    void answer(const HttpRequest &request, HttpResponder &responder, const HttpHeaders &headers)
    {
        const std::string id(request.m_headers.value("Gypsumdale-Request-Id"));
        if (request.m_target.starts_with("/-/")) {
            // Its runs can't be moved.
            responder.send({404, {}, {}});
            return;
        }
        const unsigned drawn = m_isCalm ? 99 : m_random(100);
        if (drawn < 8) {
            HttpHeaders refusal;
            refusal.add("Gypsumdale-Not-Executed", "1");
            responder.send({503, refusal, {}});
            return;
        }
        m_ledger.ran(id);
        const bool isStream =
                request.m_target.starts_with("/draft/") || request.m_target.starts_with("/stream/");
        if (isStream)
            return stream(request, responder, headers);
        if (drawn < 15) {
            responder.abandon();
        } else if (drawn < 20) {
            responder.send({500, headers, "failed"});
        } else if (drawn < 24) {
            sleepFiber(std::chrono::milliseconds(700));
            responder.abandon();
        } else {
            sleepFiber(std::chrono::milliseconds(m_random(20)));
            responder.send({200, headers, wholeAnswer(id, false)});
        }
    }

    /// Makes the events that come after the one that the caller has; breaks off in the middle of
    /// one now and then.
    void stream(const HttpRequest &request, HttpResponder &responder, const HttpHeaders &headers)
    {
        const std::string id(request.m_headers.value("Gypsumdale-Request-Id"));
        const std::string last(request.m_headers.value("Last-Event-Id"));
        responder.begin(200, headers);
        for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= eventCount; ++number) {
            const std::string text = event(id, number);
            if (!m_isCalm && m_random(100) < 4) {
                responder.write(text.substr(0, 1 + m_random(static_cast<unsigned>(text.size()))));
                responder.abandon();
                return;
            }
            responder.write(text);
            sleepFiber(std::chrono::milliseconds(m_random(30)));
        }
        responder.finish();
    }

    Ledger &m_ledger;
    // The stand-ins share one loop, so that one stream of numbers serves both.
    pcg32 m_random;
    std::atomic<bool> m_isCalm = false;
};

/// Does one thing after the other to processes, store and configuration.
class Disturber
{
public:
    Disturber(EntryWorld &world, std::uint64_t seed)
        : m_world(world)
        , m_random(seed, 1)
    {}

    void disturb()
    {
        EntryWorld::EntryNode &node = m_world.node(m_random(nodeCount));
        switch (m_random(7)) {
        case 0:
            node.m_process->send(SIGSTOP);
            pause(200 + m_random(800));
            node.m_process->send(SIGCONT);
            break;
        case 1:
            node.m_process->send(SIGKILL);
            restart(node);
            break;
        case 2:
            node.m_process->send(SIGTERM);
            restart(node);
            break;
        case 3:
            node.m_process->send(SIGHUP);
            break;
        case 4:
            m_world.store().refuse(true);
            pause(200 + m_random(1500));
            m_world.store().refuse(false);
            break;
        case 5:
            m_world.configure(++m_version, {"key"});
            break;
        default: {
            UpstreamStandIn &upstream = m_world.upstream(m_random(2));
            m_world.announce(upstream, "draining");
            pause(300 + m_random(500));
            m_world.announce(upstream, "ready");
        }
        }
        pause(m_random(300));
    }

    static void pause(unsigned millis)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(millis));
    }

private:
    void restart(EntryWorld::EntryNode &node)
    {
        m_world.waitUntil("a process that was ended is gone",
                          [&] { return node.m_process->exited(); });
        m_world.start(node);
    }

    EntryWorld &m_world;
    pcg32 m_random;
    int m_version = 1;
};

/// Harms one link after the other, beside what happens to processes.
void harmLinksUntil(EntryWorld &world, std::uint64_t seed, const std::atomic<bool> &isOver)
{
    constexpr std::array faults = {LinkFault::Delay, LinkFault::CutToTarget,
                                   LinkFault::CutFromTarget, LinkFault::Silence, LinkFault::Reset};
    pcg32 random(seed, 2);
    while (!isOver) {
        FaultProxy &link = world.link(random(static_cast<unsigned>(world.linkCount())));
        link.set(faults.at(random(static_cast<unsigned>(faults.size()))));
        Disturber::pause(50 + random(900));
        link.set(LinkFault::None);
        Disturber::pause(random(400));
    }
}

void callUntil(EntryWorld &world, Ledger &ledger, std::uint64_t seed, int caller,
               const std::atomic<bool> &isOver)
{
    pcg32 random(seed, 100 + static_cast<std::uint64_t>(caller));
    for (int number = 0; !isOver; ++number) {
        const std::string id = fmt::format("c{}-{}", caller, number);
        const Route &route = routes.at(random(static_cast<unsigned>(routes.size())));
        const EntryAnswer answer = world.call(world.node(random(nodeCount)), route.m_path, id);
        ledger.answered(id, route.m_mayRepeat, wholeAnswer(id, route.m_isStream), answer);
        // A node that is down refuses at once; callers don't come back in the same moment.
        if (answer.m_status == 0)
            Disturber::pause(20);
    }
}

} // namespace

TEST_CASE("entry processes keep their promises while everything around them fails")
{
    // Processes are paused, killed, stopped and restarted, the store comes and goes, upstreams
    // refuse, fail and lose answers, and links are delayed, cut one way or both and reset. A
    // request that may not repeat runs once at most, nothing that ran is called not run, a success
    // is whole and the caller's own, and afterwards all is served again.
    const std::uint64_t seed = soakSeed();
    const std::uint64_t seconds = soakSeconds();
    EntryWorld world(nodeCount, true);
    Ledger ledger;
    FaultyUpstreams upstreams(world, ledger, seed);
    std::atomic<bool> isOver = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] { callUntil(world, ledger, seed, caller, isOver); });
    }
    std::thread harm([&] { harmLinksUntil(world, seed, isOver); });
    Disturber disturber(world, seed);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        disturber.disturb();
        ledger.check();
    }
    isOver = true;
    harm.join();
    for (std::thread &caller : callers)
        caller.join();
    ledger.check();
    WARN("seed " << seed << ", answers by status: " << ledger.summary());
    CHECK(ledger.count(200) > 0);

    upstreams.calm();
    for (int index = 0; index < nodeCount; ++index) {
        world.waitUntil("every process is ready", [&] { return world.isReady(world.node(index)); });
        world.waitUntil("every process serves again", [&] {
            static int number = 0;
            return world.call(world.node(index), "/once/x", fmt::format("after-{}", number++))
                           .m_status
                   == 200;
        });
    }
}
