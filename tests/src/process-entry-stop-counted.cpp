#include "support/entry_world.hpp"
#include "support/scheduled_caller.hpp"
#include "support/timed_streams.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm> // any_of
#include <chrono> // milliseconds, steady_clock
#include <csignal> // SIGHUP, SIGINT, SIGTERM
#include <cstddef> // size_t
#include <cstdlib> // strtol
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <sstream> // istringstream
#include <string> // getline, string
#include <string_view> // string_view
#include <vector> // vector

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds graceTime(6000);
/// Since the signal: connections are no longer accepted, requests are cancelled.
constexpr int acceptEnd = 2600;
constexpr int cancelTime = 5300;
/// Between the connections of the callers and the signals.
constexpr milliseconds lead(700);
/// Exit status of a process that gave requests up.
constexpr int requestsCutStatus = 4;
/// Only limits hangs.
constexpr milliseconds runTime(9500);

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

/// Returns a number in the last line of an event; 0 if there is none.
std::size_t lastNumberIn(const std::string &log, std::string_view event, std::string_view field)
{
    const std::size_t lineAt = log.rfind(fmt::format("\"event\":\"{}\"", event));
    if (lineAt == std::string::npos)
        return 0;
    const std::string line = log.substr(lineAt, log.find('\n', lineAt) - lineAt);
    const std::string name = fmt::format("\"{}\":", field);
    const std::size_t at = line.find(name);
    return at == std::string::npos ? 0
                                   : static_cast<std::size_t>(std::strtol(
                                           line.c_str() + at + name.size(), nullptr, 10));
}

struct SignalPlan
{
    /// When the process is started; nothing if it runs.
    std::optional<int> m_startAt;
    /// Times and signals.
    std::vector<std::pair<int, int>> m_signals;
};

/// A process that is stopped.
struct StoppedNode
{
    SignalPlan m_plan;
    /// Requests whose bodies are never whole.
    std::size_t m_neverWhole = 0;
    std::optional<std::chrono::steady_clock::time_point> m_signalAt;
    std::optional<std::chrono::steady_clock::time_point> m_endedAt;
};

/// Plays callers and signals against processes, and checks how each request and process ended.
class CountedStops
{
public:
    CountedStops(EntryWorld &world, const std::vector<SignalPlan> &plans)
        : m_world(world)
    {
        for (const SignalPlan &plan : plans)
            m_nodes.push_back({plan, 0, {}, {}});
    }

    std::string nextId(std::size_t node, std::string_view what)
    {
        return fmt::format("n{}-{}-{}", node, m_nextId++, what);
    }

    /// Opens a connection. Returns nullptr if the process accepts none.
    ScheduledCaller *connect(std::size_t node)
    {
        auto &caller = m_callers[node].emplace_back(m_context);
        if (caller.connect(m_world.node(node).m_callerPort))
            return &caller;
        m_callers[node].pop_back();
        return nullptr;
    }

    /// Adds a caller that connects as soon as the process accepts connections, some time after its
    /// start.
    ScheduledCaller &add(std::size_t node, milliseconds afterStart)
    {
        m_delays[node].push_back(afterStart);
        return m_callers[node].emplace_back(m_context);
    }

    void noteNeverWhole(std::size_t node) { ++m_nodes.at(node).m_neverWhole; }
    std::size_t neverWhole(std::size_t node) const { return m_nodes.at(node).m_neverWhole; }

    /// Plays everything until all processes have ended.
    void play(milliseconds untilSignal = lead)
    {
        const auto zero = std::chrono::steady_clock::now() + untilSignal;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if (m_nodes[node].m_plan.m_startAt)
                startAt(zero + milliseconds(*m_nodes[node].m_plan.m_startAt), node);
            else
                startCallers(zero, node);
            for (const auto &[millis, signal] : m_nodes[node].m_plan.m_signals)
                sendAt(zero + milliseconds(millis), node, signal);
        }
        watchEnds();
        m_context.run_until(zero + runTime);
    }

    void check()
    {
        const std::set<std::string> seen = idsSeen(m_world);
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            check(node, seen);
    }

    /// Numbers of requests by how they ended, to show that a run has played each way.
    std::size_t whole() const { return m_whole; }
    std::size_t cut() const { return m_cut; }
    std::size_t refused() const { return m_refused; }
    std::size_t closed() const { return m_closed; }

private:
    void startCallers(std::chrono::steady_clock::time_point zero, std::size_t node)
    {
        for (ScheduledCaller &caller : m_callers[node])
            caller.start(zero);
    }

    void startAt(std::chrono::steady_clock::time_point at, std::size_t node)
    {
        auto &timer = m_timers.emplace_back(m_context, at);
        timer.async_wait([this, node](const boost::system::error_code &) {
            constexpr milliseconds longestStart(1500);
            EntryWorld::EntryNode &process = m_world.node(node);
            m_world.start(process);
            const auto now = std::chrono::steady_clock::now();
            for (std::size_t number = 0; number < m_callers[node].size(); ++number) {
                const auto from = now + m_delays[node][number];
                m_callers[node][number].startWhenAccepted(process.m_callerPort, from,
                                                          now + longestStart);
            }
        });
    }

    void sendAt(std::chrono::steady_clock::time_point at, std::size_t node, int signal)
    {
        auto &timer = m_timers.emplace_back(m_context, at);
        timer.async_wait([this, node, signal](const boost::system::error_code &) {
            if (signal != SIGHUP && !m_nodes[node].m_signalAt)
                m_nodes[node].m_signalAt = std::chrono::steady_clock::now();
            if (signal == SIGHUP)
                m_world.touchSettings(m_world.node(node));
            m_world.node(node).m_process->send(signal);
        });
    }

    /// Notes when each process ends.
    void watchEnds()
    {
        bool isOver = true;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const bool isStopped = m_nodes[node].m_signalAt.has_value();
            if (isStopped && !m_nodes[node].m_endedAt && m_world.node(node).m_process->exited())
                m_nodes[node].m_endedAt = std::chrono::steady_clock::now();
            isOver = isOver && m_nodes[node].m_endedAt;
        }
        if (isOver)
            return;
        m_endTimer.expires_after(milliseconds(5));
        m_endTimer.async_wait([this](const boost::system::error_code &) { watchEnds(); });
    }

    static std::map<std::string, int> countById(const std::string &log,
                                                const std::vector<std::string> &events)
    {
        constexpr std::string_view idName = "\"request\":\"";
        std::map<std::string, int> found;
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t idAt = line.find(idName);
            if (idAt == std::string::npos)
                continue;
            const std::size_t begin = idAt + idName.size();
            for (const std::string &event : events) {
                if (line.find(fmt::format("\"event\":\"{}\"", event)) != std::string::npos)
                    ++found[line.substr(begin, line.find('"', begin) - begin)];
            }
        }
        return found;
    }

    static std::string linesOf(const std::string &log, const std::string &id)
    {
        std::string found;
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            if (line.find(fmt::format("\"{}\"", id)) != std::string::npos)
                found += line + "\n";
        }
        return found;
    }

    void check(std::size_t index, const std::set<std::string> &seen)
    {
        const StoppedNode &node = m_nodes[index];
        const EntryWorld::EntryNode &process = m_world.node(index);
        const std::string log = m_world.fullLog(process);
        const auto cuts = countById(log, {"request-cut-by-stop"});
        const auto ends = countById(log, {"request-done", "request-failed"});
        const auto placed = countById(log, {"request-placed"});
        REQUIRE(node.m_endedAt);
        REQUIRE(node.m_signalAt);
        const auto taken =
                std::chrono::duration_cast<milliseconds>(*node.m_endedAt - *node.m_signalAt);
        INFO(process.m_name << ", seen to end " << taken.count() << " ms after its signal");
        CHECK(taken.count() <= graceTime.count());
        for (const ScheduledCaller &caller : m_callers[index]) {
            const std::vector<ReceivedAnswer> answers = caller.answers();
            for (std::size_t number = 0; number < caller.ids().size(); ++number) {
                const std::string &id = caller.ids()[number];
                const ReceivedAnswer answer =
                        number < answers.size() ? answers[number] : ReceivedAnswer();
                INFO(linesOf(log, id));
                INFO(id << ", status " << answer.m_status << ", "
                        << (answer.m_isWhole ? "whole" : "not whole"));
                const bool isCut = cuts.contains(id);
                if (seen.contains(id)) {
                    CHECK((isCut || (answer.m_status == 200 && answer.m_isWhole)));
                    // A caller gets at least a status, which says that the request may have run.
                    CHECK(answer.m_status != 0);
                    CHECK(ends.contains(id));
                    CHECK((ends.contains(id) ? ends.at(id) : 0) == 1);
                    CHECK(placed.contains(id));
                    ++(answer.m_isWhole && answer.m_status == 200 ? m_whole : m_cut);
                    continue;
                }
                CHECK((answer.m_status == 0 || answer.m_status == 503));
                CHECK((answer.m_status == 0 || answer.m_isWhole));
                ++(answer.m_status == 0 ? m_closed : m_refused);
            }
        }
        const bool hadCaller =
                std::any_of(m_callers[index].begin(), m_callers[index].end(),
                            [](const ScheduledCaller &caller) { return caller.isConnected(); });
        // A process that has not begun to handle signals, so has no callers, is ended by them.
        constexpr int endedBySignal = 128 + SIGTERM;
        if (!hadCaller && process.m_process->exitStatus() == endedBySignal)
            return;
        const int status = cuts.empty() ? 0 : requestsCutStatus;
        CHECK(process.m_process->exitStatus().value_or(-1) == status);
        CHECK(log.find("\"event\":\"stopped\"") != std::string::npos);
        CHECK(lastNumberIn(log, "stopped", "millis")
              <= static_cast<std::size_t>(graceTime.count()));
        CHECK(lastNumberIn(log, "drained", "count") == cuts.size());
    }

    EntryWorld &m_world;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_endTimer{m_context};
    std::deque<boost::asio::steady_timer> m_timers;
    std::vector<StoppedNode> m_nodes;
    std::map<std::size_t, std::deque<ScheduledCaller>> m_callers;
    std::map<std::size_t, std::vector<milliseconds>> m_delays;
    int m_nextId = 0;
    std::size_t m_whole = 0;
    std::size_t m_cut = 0;
    std::size_t m_refused = 0;
    std::size_t m_closed = 0;
};

/// Signals of the processes of one run: one, reloads beside it, and further ones in each phase.
std::vector<SignalPlan> signalPlans()
{
    return {{{}, {{0, SIGTERM}}},
            {{},
             {{-5, SIGHUP}, {0, SIGTERM}, {0, SIGHUP}, {acceptEnd, SIGHUP}, {cancelTime, SIGHUP}}},
            {{},
             {{0, SIGTERM},
              {1, SIGTERM},
              {900, SIGINT},
              {acceptEnd, SIGTERM},
              {cancelTime - 20, SIGINT},
              {cancelTime, SIGTERM},
              {cancelTime + 200, SIGTERM}}},
            {{}, {{0, SIGINT}, {1, SIGHUP}, {3000, SIGTERM}, {3001, SIGHUP}}}};
}

/// A stream of 4 s: begun later than 1.3 s after the signal, it outlasts the stop.
constexpr std::string_view longStream = "/draft/40";
const std::vector<std::string_view> &targets()
{
    static const std::vector<std::string_view> all = {longStream, "/draft/4", "/once/4",
                                                      "/stream/4"};
    return all;
}

} // namespace

// Guards against a process that ends, or closes a connection, while a request is under way whose
// body was still arriving when the signal came.
TEST_CASE("a request whose body arrives across a stop is answered, cut with a line, or not run")
{
    EntryWorld world(static_cast<int>(signalPlans().size()));
    serveTimedStreams(world);
    CountedStops stops(world, signalPlans());
    const std::vector<int> ends = {50,   1000, 2500, 2580, 2600, 2620, 2800, 3590,
                                   3620, 4800, 5150, 5280, 5300, 5320, 5400};
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        for (const std::string_view target : targets()) {
            const auto open = [&](std::string_view what) -> ScheduledCaller & {
                ScheduledCaller *caller = stops.connect(node);
                REQUIRE(caller);
                const std::string id = stops.nextId(node, what);
                caller->expect(id);
                caller->writeAt(milliseconds(-400),
                                headOf(target, id, "Transfer-Encoding: chunked") + "2\r\nbo\r\n");
                return *caller;
            };
            for (const int end : ends)
                open(fmt::format("ends-{}", end))
                        .writeAt(milliseconds(end), "2\r\ndy\r\n0\r\n\r\n");
            open("never");
            stops.noteNeverWhole(node);
        }
    }
    stops.play();
    stops.check();
    CHECK(stops.whole() > 0);
    CHECK(stops.cut() > 0);
    CHECK(stops.refused() > 0);
    CHECK(stops.closed() > 0);
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        const std::string log = world.fullLog(world.node(node));
        CHECK(log.find("\"event\":\"draining\"") != std::string::npos);
        CHECK(lastNumberIn(log, "draining", "arriving") == targets().size() * (ends.size() + 1));
        CHECK(lastNumberIn(log, "unfinished-at-stop", "arriving") == stops.neverWhole(node));
        CHECK(lastNumberIn(log, "drained", "arriving") == stops.neverWhole(node));
        CHECK(lastNumberIn(log, "stopped", "millis") >= static_cast<std::size_t>(cancelTime));
    }
}

// Guards against the same of a request that comes behind another one on its connection: while that
// one is answered, as its answer ends, and on a connection that is then idle and closed.
TEST_CASE("a request behind another one is answered, cut with a line, or not run across a stop")
{
    EntryWorld world(static_cast<int>(signalPlans().size()));
    serveTimedStreams(world);
    CountedStops stops(world, signalPlans());
    constexpr int firstAt = -500;
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        const auto add = [&](std::string_view first, int secondAt, std::string_view second) {
            ScheduledCaller *caller = stops.connect(node);
            REQUIRE(caller);
            const std::string firstId = stops.nextId(node, "first");
            const std::string secondId = stops.nextId(node, fmt::format("second-{}", secondAt));
            caller->expect(firstId);
            caller->expect(secondId);
            caller->writeAt(milliseconds(firstAt), requestOf(first, firstId));
            caller->writeAt(milliseconds(secondAt), requestOf(second, secondId));
        };
        // Behind an answer under way, in each phase, and around its end.
        for (const int events : {5, 20, 30, 31, 32, 43}) {
            const int endsAt = firstAt + 100 * events;
            for (const int before : {400, 150, 3, 0, -3, -10, -30}) {
                const std::string first = fmt::format("/draft/{}", events);
                add(first, endsAt - before, events % 2 == 0 ? longStream : "/once/4");
            }
        }
        // On kept connections, idle before the signal, around the time at which they are closed.
        for (int millis = acceptEnd - 12; millis <= acceptEnd + 12; ++millis)
            add("/again/1", millis, "/draft/3");
        add("/again/1", 1000, longStream);
        add("/again/1", 1500, longStream);
    }
    stops.play();
    stops.check();
    CHECK(stops.whole() > 0);
    CHECK(stops.cut() > 0);
    CHECK(stops.refused() > 0);
}

// Guards against requests that a process takes in its first moments and loses when it is stopped
// then, before or after it is ready.
TEST_CASE("a process that is stopped as soon as it has started loses no request that it has run")
{
    const std::vector<int> signalTimes = {1, 5, 10, 15, 20, 30, 45, 70, 110, 180, 300};
    EntryWorld world(static_cast<int>(signalTimes.size()));
    serveTimedStreams(world);
    std::vector<SignalPlan> plans;
    for (std::size_t node = 0; node < signalTimes.size(); ++node) {
        world.node(node).m_process->send(SIGTERM);
        // One after the other, as each start takes processor time.
        const int startAt = static_cast<int>(node) * 150;
        plans.push_back({startAt, {{startAt + signalTimes[node], SIGTERM}}});
    }
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        world.waitUntil("it has ended", [&] { return world.node(node).m_process->exited(); });
        CHECK(world.node(node).m_process->exitStatus() == 0);
    }
    CountedStops stops(world, plans);
    for (std::size_t node = 0; node < world.nodeCount(); ++node) {
        for (const int after : {0, 30, 90, 200, 280}) {
            for (const std::string_view target : {"/draft/40", "/draft/5", "/once/3", "/again/2"}) {
                ScheduledCaller &caller = stops.add(node, milliseconds(after));
                const std::string id = stops.nextId(node, fmt::format("after-{}", after));
                caller.expect(id);
                caller.writeAt(milliseconds(0), requestOf(target, id));
            }
            ScheduledCaller &slow = stops.add(node, milliseconds(after));
            const std::string id = stops.nextId(node, fmt::format("slow-after-{}", after));
            slow.expect(id);
            slow.writeAt(milliseconds(0), headOf("/once/2", id, "Transfer-Encoding: chunked"));
            slow.writeAt(milliseconds(400), "4\r\nbody\r\n0\r\n\r\n");
        }
    }
    stops.play();
    stops.check();
    CHECK(stops.whole() > 0);
}
