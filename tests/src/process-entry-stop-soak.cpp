#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"
#include "support/soak_settings.hpp"
#include "support/timed_streams.hpp"

#include <gypsumdale/core/names.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm> // max
#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds, seconds, steady_clock
#include <csignal> // SIGHUP, SIGTERM
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map> // map
#include <mutex> // lock_guard, mutex
#include <set> // set
#include <sstream> // istringstream
#include <string> // getline, string
#include <string_view> // string_view
#include <thread> // sleep_for, thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t callerCount = 40;
/// The longest stream takes nearly as long as its route's timeout.
constexpr unsigned minEvents = 2;
constexpr unsigned maxEvents = 46;
/// Grace time of the VMs' settings, and the part of it in which an upstream that is still at work
/// excuses a cut of a request that was sent early enough.
constexpr milliseconds grace(6000);
constexpr milliseconds excusedFrom(5000);
constexpr milliseconds latestExcusedSend(3000);
constexpr milliseconds stopEnd = grace + std::chrono::seconds(1);
constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

void pause(std::uint64_t millis)
{
    std::this_thread::sleep_for(milliseconds(millis));
}

/// How a request reaches its VM.
enum class Way {
    NewConnection,
    /// The connection was opened a while before.
    OpenConnection,
    /// The body arrives in chunks, over a time.
    SlowBody,
    /// Another stream goes before it on the same connection.
    BehindStream,
};

inline constexpr NameTable<Way, 4> wayNames = {{
        {Way::NewConnection, "new connection"},
        {Way::OpenConnection, "open connection"},
        {Way::SlowBody, "slow body"},
        {Way::BehindStream, "behind a stream"},
}};

/// One request, as its caller saw it.
struct SentStream
{
    std::string m_id;
    std::size_t m_node = 0;
    Way m_way = Way::NewConnection;
    /// When its last byte was sent, and when its connection ended or its answer was whole.
    steady_clock::time_point m_sentAt;
    steady_clock::time_point m_endedAt;
    std::string m_answer;
};

struct StopSoak
{
    StopSoak(std::size_t nodes, std::uint64_t seed)
        : m_seed(seed)
        , m_world(static_cast<int>(nodes), false, std::nullopt, {"v1", "v1", "v1"})
    {
        serveTimedStreams(m_world);
    }

    void note(SentStream stream)
    {
        stream.m_endedAt = steady_clock::now();
        const std::lock_guard lock(m_mutex);
        m_streams.push_back(std::move(stream));
    }

    void noteSignal(std::size_t node)
    {
        const std::lock_guard lock(m_mutex);
        m_signals[node].push_back(steady_clock::now());
    }

    std::uint64_t m_seed;
    EntryWorld m_world;
    std::atomic<bool> m_isOver = false;
    std::mutex m_mutex;
    std::vector<SentStream> m_streams;
    /// When each VM got SIGTERM.
    std::map<std::size_t, std::vector<steady_clock::time_point>> m_signals;
};

std::string headOf(unsigned events, std::string_view id, std::string_view framing)
{
    return fmt::format("POST /draft/{} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                       "Gypsumdale-Token-Usage: 10,{}\r\nAuthorization: Bearer key\r\n{}\r\n\r\n",
                       events, id, events, framing);
}

std::string requestOf(unsigned events, std::string_view id)
{
    return headOf(events, id, "Content-Length: 4") + "body";
}

bool isWhole(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && answer.ends_with(lastChunk);
}

/// Sends a body in four chunks, over up to 1.2 s.
void sendSlowly(RawCaller &caller, unsigned events, const std::string &id, pcg32 &random)
{
    caller.write(headOf(events, id, "Transfer-Encoding: chunked"));
    for (int chunk = 0; chunk < 4; ++chunk) {
        pause(random(300));
        caller.write("1\r\nx\r\n");
    }
    caller.write("0\r\n\r\n");
}

void sendOne(StopSoak &soak, SentStream stream, pcg32 &random)
{
    const unsigned events = minEvents + random(maxEvents - minEvents);
    RawCaller caller;
    if (!caller.connect(soak.m_world.node(stream.m_node).m_callerPort)) {
        pause(20);
        return;
    }
    if (stream.m_way == Way::OpenConnection)
        pause(random(4000));
    if (stream.m_way == Way::SlowBody)
        sendSlowly(caller, events, stream.m_id, random);
    else
        caller.write(requestOf(events, stream.m_id));
    stream.m_sentAt = steady_clock::now();
    stream.m_answer = caller.readUntil(stream.m_way == Way::BehindStream ? headEnd : lastChunk);
    if (stream.m_way != Way::BehindStream) {
        soak.note(std::move(stream));
        return;
    }
    if (!stream.m_answer.starts_with("HTTP/1.1 200")) {
        soak.note(std::move(stream));
        return;
    }
    // The second one is sent while the first is forwarded.
    SentStream second = stream;
    second.m_id += "-second";
    caller.write(requestOf(minEvents + random(maxEvents - minEvents), second.m_id));
    second.m_sentAt = steady_clock::now();
    stream.m_answer += caller.readUntil(lastChunk);
    soak.note(std::move(stream));
    second.m_answer = caller.readUntil(lastChunk);
    soak.note(std::move(second));
}

void sendUntilOver(StopSoak &soak, std::size_t number)
{
    pcg32 random(soak.m_seed, 100 + number);
    for (int count = 0; !soak.m_isOver; ++count) {
        SentStream stream;
        stream.m_id = fmt::format("c{}-{}", number, count);
        stream.m_node = random(static_cast<unsigned>(soak.m_world.nodeCount()));
        stream.m_way = static_cast<Way>(random(wayNames.size()));
        sendOne(soak, std::move(stream), random);
    }
}

/// Stops a VM again and again, at times that overlap with those of the others, and reloads it.
void stopAndStart(StopSoak &soak, std::size_t index)
{
    pcg32 random(soak.m_seed, 10 + index);
    EntryWorld::EntryNode &node = soak.m_world.node(index);
    while (!soak.m_isOver) {
        pause(1000 + random(8000));
        if (soak.m_isOver)
            break;
        if (random(2) == 0)
            node.m_process->send(SIGHUP);
        soak.noteSignal(index);
        node.m_process->send(SIGTERM);
        while (!node.m_process->exited())
            pause(5);
        soak.m_world.start(node);
    }
}

struct SoakVerdict
{
    int m_whole = 0;
    int m_refused = 0;
    int m_excused = 0;
    int m_timedOut = 0;
    std::vector<std::string> m_lost;
};

/// Returns the last signal to a VM before the end of a request, if the request ended in that stop.
std::optional<steady_clock::time_point> stopOf(const StopSoak &soak, const SentStream &stream)
{
    std::optional<steady_clock::time_point> last;
    const auto signals = soak.m_signals.find(stream.m_node);
    if (signals == soak.m_signals.end())
        return last;
    for (const steady_clock::time_point signal : signals->second) {
        if (signal <= stream.m_endedAt && stream.m_endedAt <= signal + stopEnd)
            last = signal;
    }
    return last;
}

/// Returns whether a stop may cut a request: it was sent early enough, and its upstream was still
/// at work late in the grace time.
bool isExcused(const StopSoak &soak, const SentStream &stream)
{
    const auto signal = stopOf(soak, stream);
    return signal && stream.m_sentAt <= *signal + latestExcusedSend
           && stream.m_endedAt >= *signal + excusedFrom;
}

/// Returns whether a request reached the timeout of its route.
bool hasTimedOut(StopSoak &soak, const SentStream &stream)
{
    std::istringstream lines(soak.m_world.fullLog(soak.m_world.node(stream.m_node)));
    const std::string id = fmt::format("\"request\":\"{}\"", stream.m_id);
    for (std::string line; std::getline(lines, line);) {
        if (line.find(id) != std::string::npos
            && line.find("\"reason\":\"deadline\"") != std::string::npos)
            return true;
    }
    return false;
}

std::string describe(const StopSoak &soak, const SentStream &stream)
{
    const auto signal = stopOf(soak, stream).value_or(stream.m_sentAt);
    const auto since = [signal](steady_clock::time_point at) {
        return std::chrono::duration_cast<milliseconds>(at - signal).count();
    };
    return fmt::format("{} ({}) at VM {}, sent {} ms and ended {} ms after the signal, {}",
                       stream.m_id, enumName(wayNames, stream.m_way), stream.m_node,
                       since(stream.m_sentAt), since(stream.m_endedAt),
                       stream.m_answer.substr(0, stream.m_answer.find('\r')));
}

/// One that ended without a byte and was never run has crossed a close, and may be sent again.
SoakVerdict judge(StopSoak &soak)
{
    const std::set<std::string> seen = idsSeen(soak.m_world);
    SoakVerdict verdict;
    for (const SentStream &stream : soak.m_streams) {
        const bool isRefusal = stream.m_answer.starts_with("HTTP/1.1 503");
        const bool isSeen = seen.contains(stream.m_id);
        if (isWhole(stream.m_answer))
            ++verdict.m_whole;
        else if (!isSeen && (isRefusal || stream.m_answer.empty()))
            ++verdict.m_refused;
        else if (isSeen && !isRefusal && isExcused(soak, stream))
            ++verdict.m_excused;
        else if (isSeen && !isRefusal && hasTimedOut(soak, stream))
            ++verdict.m_timedOut;
        else
            verdict.m_lost.push_back(describe(soak, stream));
    }
    return verdict;
}

} // namespace

// Guards against requests that are lost around planned stops that overlap, by each way in which
// they reach a VM.
TEST_CASE("streams that run once are whole or refused while VMs are stopped")
{
    StopSoak soak(soakNodes(), soakSeed());
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < callerCount; ++number)
        threads.emplace_back([&, number] { sendUntilOver(soak, number); });
    for (std::size_t node = 0; node < soak.m_world.nodeCount(); ++node)
        threads.emplace_back([&, node] { stopAndStart(soak, node); });
    pause(1000 * std::max<std::uint64_t>(soakSeconds(), 15));
    soak.m_isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    const SoakVerdict verdict = judge(soak);
    WARN("seed " << soak.m_seed << ": whole " << verdict.m_whole << ", refused "
                 << verdict.m_refused << ", cut and excused " << verdict.m_excused << ", timed out "
                 << verdict.m_timedOut);
    CHECK(verdict.m_lost == std::vector<std::string>());
    CHECK(verdict.m_whole > 0);
    CHECK(verdict.m_refused > 0);
}
