#include "support/entry_world.hpp"
#include "support/soak_ledger.hpp"
#include "support/soak_settings.hpp"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <array> // array
#include <atomic> // atomic
#include <csignal> // SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <mutex> // lock_guard, mutex, unique_lock
#include <thread> // sleep_for, thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t callerCount = 12;
/// Callers of the account with a quota, who ask for several times its rate.
constexpr std::size_t limitedCallers = 5;
constexpr std::size_t disturberCount = 2;

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

/// Upstreams that now and then refuse, fail, lose answers, fall silent or are slow.
class FaultyUpstreams
{
public:
    FaultyUpstreams(EntryWorld &world, SoakLedger &ledger, std::uint64_t seed)
        : m_ledger(ledger)
        , m_random(seed)
    {
        for (const std::size_t index : {0, 1}) {
            world.upstream(index).behave([this, index](const HttpRequest &request,
                                                       HttpResponder &responder,
                                                       const HttpHeaders &headers) {
                m_ledger.arrived(std::string(request.m_headers.value("Gypsumdale-Request-Id")),
                                 index);
                answer(request, responder, headers);
            });
        }
    }

    void calm() { m_isCalm = true; }

private:
    void answer(const HttpRequest &request, HttpResponder &responder, const HttpHeaders &headers)
    {
        const std::string id(request.m_headers.value("Gypsumdale-Request-Id"));
        if (request.m_target.starts_with("/-/")) {
            // Running requests can't be moved away from it.
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

    /// Generates the events after the last one that the caller has. Now and then breaks off in the
    /// middle of an event.
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

    SoakLedger &m_ledger;
    // The stand-ins share one loop, so that one random generator serves both.
    pcg32 m_random;
    std::atomic<bool> m_isCalm = false;
};

void pause(unsigned millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// State shared by all threads of a soak.
struct Soak
{
    Soak(std::size_t nodes, std::uint64_t seed)
        : m_seed(seed)
        , m_world(static_cast<int>(nodes), true)
        , m_kills(nodes)
        , m_inUse(nodes)
    {}

    std::uint64_t m_seed;
    EntryWorld m_world;
    SoakLedger m_ledger;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_version = 1;
    /// Number of processes that did not end.
    std::atomic<int> m_hangs = 0;
    /// Number of kills, by VM.
    std::vector<std::atomic<int>> m_kills;
    /// By VM, held by the thread that stops, pauses or kills it.
    std::vector<std::mutex> m_inUse;
    std::mutex m_announcing;
};

/// Makes an upstream leave or return, and records that in the ledger.
void announce(Soak &soak, std::size_t upstream, bool isLeaving)
{
    const std::lock_guard lock(soak.m_announcing);
    if (!isLeaving)
        soak.m_ledger.leaves(upstream, 0);
    const std::int64_t revision = soak.m_world.announce(soak.m_world.upstream(upstream),
                                                        isLeaving ? "draining" : "ready");
    if (isLeaving)
        soak.m_ledger.leaves(upstream, revision);
}

/// Disturbs processes, store and configuration, one after the other. Several disturbers run at the
/// same time.
class Disturber
{
public:
    Disturber(Soak &soak, std::size_t number)
        : m_soak(soak)
        , m_random(soak.m_seed, 1 + 1000 * number)
    {}

    void disturb()
    {
        switch (m_random(7)) {
        case 4:
            m_soak.m_world.store().refuse(true);
            pause(200 + m_random(1500));
            m_soak.m_world.store().refuse(false);
            break;
        case 5:
            m_soak.m_world.configure(++m_soak.m_version, {"key"});
            break;
        case 6: {
            const std::size_t upstream = m_random(2);
            announce(m_soak, upstream, true);
            pause(300 + m_random(1200));
            announce(m_soak, upstream, false);
            break;
        }
        default:
            disturbProcess(m_random(static_cast<unsigned>(m_soak.m_world.nodeCount())));
        }
        pause(m_random(300));
    }

private:
    void disturbProcess(std::size_t index)
    {
        const std::unique_lock use(m_soak.m_inUse.at(index), std::try_to_lock);
        if (!use)
            return;
        EntryWorld::EntryNode &node = m_soak.m_world.node(index);
        switch (m_random(4)) {
        case 0:
            node.m_process->send(SIGSTOP);
            pause(200 + m_random(800));
            node.m_process->send(SIGCONT);
            break;
        case 1:
            ++m_soak.m_kills.at(index);
            node.m_process->send(SIGKILL);
            restart(node);
            break;
        case 2:
            node.m_process->send(SIGTERM);
            restart(node);
            break;
        default:
            // The default action of the signal ends a process that has not yet blocked its signals.
            if (m_soak.m_world.get(node.m_readyPort, "/-/ready").m_status != 0)
                node.m_process->send(SIGHUP);
        }
    }

    void restart(EntryWorld::EntryNode &node)
    {
        const auto end = std::chrono::steady_clock::now() + entryHangGuard;
        while (!node.m_process->exited() && std::chrono::steady_clock::now() < end)
            pause(10);
        // Only the test's own thread may fail it.
        if (!node.m_process->exited())
            ++m_soak.m_hangs;
        m_soak.m_world.start(node);
    }

    Soak &m_soak;
    pcg32 m_random;
};

/// Disturbs one link after the other, in addition to what happens to processes.
void disturbLinks(Soak &soak, const std::vector<FaultProxy *> &links, std::uint64_t stream)
{
    constexpr std::array faults = {LinkFault::Delay, LinkFault::CutToTarget,
                                   LinkFault::CutFromTarget, LinkFault::Silence, LinkFault::Reset};
    pcg32 random(soak.m_seed, stream);
    while (!soak.m_isOver) {
        FaultProxy &link = *links.at(random(static_cast<unsigned>(links.size())));
        link.set(faults.at(random(static_cast<unsigned>(faults.size()))));
        pause(50 + random(900));
        link.set(LinkFault::None);
        pause(random(400));
    }
}

/// Returns the links to the store and to the upstreams.
std::vector<FaultProxy *> outerLinks(EntryWorld &world)
{
    std::vector<FaultProxy *> links = {&world.upstreamLink(0), &world.upstreamLink(1)};
    for (std::size_t node = 0; node < world.nodeCount(); ++node)
        links.push_back(world.node(node).m_storeLink.get());
    return links;
}

/// Returns the links on which VMs reach each other.
std::vector<FaultProxy *> peerLinks(EntryWorld &world)
{
    std::vector<FaultProxy *> links;
    for (std::size_t node = 0; node < world.nodeCount(); ++node)
        links.push_back(world.node(node).m_peerLink.get());
    return links;
}

void setAll(const std::vector<FaultProxy *> &links, LinkFault fault)
{
    for (FaultProxy *link : links)
        link->set(fault);
}

/// Separates all VMs from each other now and then, long enough for them to notice.
void separateVms(Soak &soak)
{
    constexpr std::array faults = {LinkFault::Silence, LinkFault::Reset, LinkFault::CutFromTarget};
    pcg32 random(soak.m_seed, 4);
    while (!soak.m_isOver) {
        pause(random(1500));
        setAll(peerLinks(soak.m_world), faults.at(random(static_cast<unsigned>(faults.size()))));
        pause(1200 + random(2800));
        setAll(peerLinks(soak.m_world), LinkFault::None);
    }
}

/// Sends one request and records its outcome. The first callers belong to the account with a quota;
/// every other caller keeps its connections.
int callOnce(Soak &soak, std::size_t caller, const std::string &id, const Route &route,
             std::size_t index)
{
    const EntryWorld::EntryNode &node = soak.m_world.node(index);
    SoakRequest request;
    request.m_node = index;
    request.m_mayRepeat = route.m_mayRepeat;
    request.m_isStream = route.m_isStream;
    request.m_isLimited = caller < limitedCallers;
    request.m_whole = wholeAnswer(id, route.m_isStream);
    request.m_takenIn = soak.m_world.store().receivedUpstreamRevision(node.m_name);
    request.m_kills = soak.m_kills.at(index);
    request.m_sentAt = std::chrono::steady_clock::now();
    const char *key = request.m_isLimited ? EntryWorld::limitedKey : "key";
    soak.m_ledger.sent(id, request);
    const EntryAnswer answer = caller % 2 == 0
                                       ? soak.m_world.call(node, route.m_path, id, key)
                                       : soak.m_world.callAgain(node, route.m_path, id, key);
    soak.m_ledger.answered(id, answer, soak.m_kills.at(index));
    return answer.m_status;
}

void callUntilOver(Soak &soak, std::size_t caller)
{
    pcg32 random(soak.m_seed, 100 + caller);
    for (int number = 0; !soak.m_isOver; ++number) {
        const Route &route = routes.at(random(static_cast<unsigned>(routes.size())));
        const std::size_t node = random(static_cast<unsigned>(soak.m_world.nodeCount()));
        const int status =
                callOnce(soak, caller, fmt::format("c{}-{}", caller, number), route, node);
        // A node that is down refuses at once; callers don't retry at the same moment.
        if (status == 0 || status == 429)
            pause(20);
    }
}

/// Waits until a VM sends nothing to an upstream that leaves. What it still sends meanwhile is
/// allowed, as it may not have received the report yet.
void waitUntilUnused(Soak &soak, std::size_t node, std::size_t upstream)
{
    constexpr int enough = 12;
    soak.m_world.waitUntil("a leaving upstream is left alone", [&] {
        static int number = 0;
        const std::size_t before = soak.m_world.upstream(upstream).seen().size();
        for (int call = 0; call < enough; ++call)
            soak.m_world.call(soak.m_world.node(node), "/again/x",
                              fmt::format("left-{}", number++));
        return soak.m_world.upstream(upstream).seen().size() == before;
    });
}

void waitUntilServed(Soak &soak)
{
    for (std::size_t index = 0; index < soak.m_world.nodeCount(); ++index) {
        const EntryWorld::EntryNode &node = soak.m_world.node(index);
        soak.m_world.waitUntil("every process is ready",
                               [&] { return soak.m_world.isReady(node); });
        soak.m_world.waitUntil("every process serves again", [&] {
            static int number = 0;
            return soak.m_world.call(node, "/once/x", fmt::format("after-{}", number++)).m_status
                   == 200;
        });
    }
}

} // namespace

TEST_CASE("entry processes keep their promises while everything around them fails")
{
    // Guards against promises that break under combined faults. Processes are paused, killed,
    // stopped and restarted, the store comes and goes, upstreams refuse, fail and lose answers, and
    // links, also those between VMs, are delayed, cut in one or both directions and reset, all at
    // the same time.
    //
    // The promises: a request that may not be repeated runs at most once; nothing that ran is
    // reported as not run; a success is complete and the caller's own; what was forwarded is
    // answered unless its VM was killed; a VM that has received the report that an upstream leaves
    // sends nothing there; an account gets what its quota tolerates over all VMs; afterwards
    // everything is served again.
    Soak soak(soakNodes(), soakSeed());
    EntryWorld &world = soak.m_world;
    FaultyUpstreams upstreams(world, soak.m_ledger, soak.m_seed);
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < callerCount; ++caller)
        threads.emplace_back([&, caller] { callUntilOver(soak, caller); });
    threads.emplace_back([&] { disturbLinks(soak, outerLinks(world), 2); });
    threads.emplace_back([&] { disturbLinks(soak, peerLinks(world), 3); });
    threads.emplace_back([&] { separateVms(soak); });
    for (std::size_t number = 1; number < disturberCount; ++number) {
        threads.emplace_back([&, number] {
            Disturber disturber(soak, number);
            while (!soak.m_isOver)
                disturber.disturb();
        });
    }
    Disturber disturber(soak, 0);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(soakSeconds());
    while (std::chrono::steady_clock::now() < end) {
        disturber.disturb();
        soak.m_ledger.check();
    }
    soak.m_isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    soak.m_ledger.check();
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        ChildProcess &process = *world.node(node).m_process;
        const bool hasEnded = process.exited();
        INFO("VM " << node << " ended by itself with status " << process.exitStatus().value_or(0));
        CHECK_FALSE(hasEnded);
    }
    WARN("seed " << soak.m_seed << ", answers by status: " << soak.m_ledger.summary());
    CHECK(soak.m_ledger.count(200) > 0);
    CHECK(soak.m_hangs == 0);

    upstreams.calm();
    world.store().refuse(false);
    waitUntilServed(soak);

    // A VM that receives the report from either the store or its peers sends nothing to a leaving
    // upstream.
    world.node(0).m_storeLink->set(LinkFault::Silence);
    announce(soak, 0, true);
    for (std::size_t node = 0; node < world.nodeCount(); ++node)
        waitUntilUnused(soak, node, 0);
    announce(soak, 0, false);
    world.node(0).m_storeLink->set(LinkFault::None);
    setAll(peerLinks(world), LinkFault::Silence);
    announce(soak, 1, true);
    for (std::size_t node = 0; node < world.nodeCount(); ++node)
        waitUntilUnused(soak, node, 1);
    announce(soak, 1, false);
    soak.m_ledger.check();
}
