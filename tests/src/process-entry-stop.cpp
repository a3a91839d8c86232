#include "support/entry_world.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <atomic> // atomic
#include <csignal> // SIGHUP, SIGTERM
#include <cstdlib> // getenv
#include <mutex> // lock_guard, mutex
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for, thread
#include <utility> // exchange
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Whether a caller goes on using its connection after a request.
enum class Connection {
    Keep,
    Close,
};

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lengthName = "Content-Length: ";

/// A caller's connection that is opened before its request is sent.
class RawCaller
{
public:
    /// Returns false if nobody accepts connections there.
    bool connect(const EntryWorld::EntryNode &node)
    {
        boost::system::error_code error;
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), node.m_callerPort}, error);
        return !error;
    }

    /// Sends a request; its deadline is longer than a stop takes.
    void send(std::string_view target, std::string_view id,
              Connection connection = Connection::Keep)
    {
        const bool isLast = connection == Connection::Close;
        const std::string request = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                                                "Gypsumdale-Request-Id: {}\r\n"
                                                "Authorization: Bearer key\r\n"
                                                "{}Content-Length: 4\r\n\r\nbody",
                                                target, id, isLast ? "Connection: close\r\n" : "");
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(request), error);
    }

    /// Returns all that comes until the connection ends.
    std::string readToEnd()
    {
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input), error);
        return std::exchange(m_input, std::string());
    }

    /// Returns one answer that tells its length; less of it where the connection ends before.
    std::string readAnswer()
    {
        boost::system::error_code error;
        const std::size_t headSize = boost::asio::read_until(
                m_socket, boost::asio::dynamic_buffer(m_input), headEnd, error);
        const std::size_t lengthAt = m_input.find(lengthName);
        if (error || lengthAt > headSize)
            return std::exchange(m_input, std::string());
        const std::size_t size =
                headSize + std::stoul(m_input.substr(lengthAt + lengthName.size()));
        if (m_input.size() < size)
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input),
                              boost::asio::transfer_exactly(size - m_input.size()), error);
        const std::string answer = m_input.substr(0, size);
        m_input.erase(0, size);
        return answer;
    }

private:
    std::string m_input;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
};

bool isSeen(EntryWorld &world, std::string_view id)
{
    for (const std::size_t index : {0, 1}) {
        for (const HttpRequest &request : world.upstream(index).seen()) {
            if (request.m_headers.value("Gypsumdale-Request-Id") == id)
                return true;
        }
    }
    return false;
}

void behaveBoth(EntryWorld &world, const UpstreamStandIn::Behaviour &behaviour)
{
    for (const std::size_t index : {0, 1})
        world.upstream(index).behave(behaviour);
}

/// Makes upstreams that have not answered when the process stops.
void answerNever(EntryWorld &world)
{
    behaveBoth(world, [](const HttpRequest &, HttpResponder &, const HttpHeaders &) {
        sleepFiber(std::chrono::seconds(20));
    });
}

void stopAndWaitUntilNotReady(EntryWorld &world)
{
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
}

std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::stoull(text) : otherwise;
}

void pause(unsigned millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// Ends every whole answer of the upstreams in the test of stops in turn.
constexpr std::string_view answerEnd = "whole-end";
constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

/// Which requests callers sent, and which of them got a whole answer or a refusal.
class SentRequests
{
public:
    std::string nextId()
    {
        const std::lock_guard lock(m_mutex);
        return fmt::format("r-{}", m_next++);
    }

    void note(const std::string &id, bool isAnswered)
    {
        const std::lock_guard lock(m_mutex);
        (isAnswered ? m_answered : m_unanswered).insert(id);
    }

    std::size_t answered() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answered.size();
    }

    /// Returns those that got no answer although an upstream has seen them.
    std::set<std::string> lost(EntryWorld &world) const
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> found;
        for (const std::size_t index : {0, 1}) {
            for (const HttpRequest &request : world.upstream(index).seen()) {
                const std::string id(request.m_headers.value("Gypsumdale-Request-Id"));
                if (m_unanswered.contains(id))
                    found.insert(id);
            }
        }
        return found;
    }

private:
    mutable std::mutex m_mutex;
    int m_next = 0;
    std::set<std::string> m_answered;
    std::set<std::string> m_unanswered;
};

/// Tells whether a request got its upstream's whole answer, or the refusal or error of the process.
bool isWhole(const std::string &answer)
{
    if (!answer.starts_with("HTTP/1.1 200"))
        return answer.starts_with("HTTP/1.1 ") && answer.find(headEnd) != std::string::npos;
    return answer.ends_with(answerEnd) || answer.ends_with(lastChunk);
}

/// Sends one request on a connection of its own, some time after it was opened.
void callOnce(const EntryWorld::EntryNode &node, SentRequests &sent, pcg32 &random)
{
    RawCaller caller;
    if (!caller.connect(node)) {
        pause(20);
        return;
    }
    pause(random(80));
    const std::string id = sent.nextId();
    caller.send(random(2) == 0 ? "/draft/x" : "/once/x", id, Connection::Close);
    sent.note(id, isWhole(caller.readToEnd()));
}

/// A caller that goes on using its connection looks for another VM after so many requests.
constexpr int mostOnOneConnection = 40;

/// Sends one request after the other on one connection, as long as it is kept.
void callOften(const EntryWorld::EntryNode &node, SentRequests &sent, pcg32 &random)
{
    RawCaller caller;
    bool isOpen = caller.connect(node);
    for (int number = 0; isOpen && number < mostOnOneConnection; ++number) {
        pause(random(60));
        const std::string id = sent.nextId();
        caller.send("/again/x", id);
        const std::string answer = caller.readAnswer();
        sent.note(id, isWhole(answer));
        isOpen = isWhole(answer) && answer.find("Connection: close") == std::string::npos;
    }
    pause(20);
}

void waitUntilEnded(EntryWorld &world)
{
    world.waitUntil("it has ended", [&] { return world.node().m_process->exited(); });
}

} // namespace

// VMs are stopped and started in turn. A buyer's part match is sent to one just as it stops to
// accept connections, is read and reaches an engine; 8 ms later the connection ends without an
// answer. The process had counted requests under way, there was none between the connection and its
// request, and so it left the registry and ended while it read this one.
// Evidence: in the reported day both lost requests were sent 2.566 s after the signal, reached
// engines at 2.606 s, the time until which connections are accepted being 2.6 s, and ended together
// at 2.608 s. Without the count of connections this test gets no byte of an answer.
TEST_CASE("a request that comes while an entry process leaves the registry is answered")
{
    EntryWorld world;
    behaveBoth(world,
               [](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
                   sleepFiber(std::chrono::milliseconds(800));
                   responder.send({200, headers, "whole"});
               });
    // Makes the moment wide in which the process reads requests and is about to end.
    world.store().delayRemovals(std::chrono::milliseconds(400));
    stopAndWaitUntilNotReady(world);

    std::vector<RawCaller> callers(8);
    for (RawCaller &caller : callers)
        REQUIRE(caller.connect(world.node()));
    world.waitUntil("it accepts no connections", [&] {
        RawCaller probe;
        return !probe.connect(world.node());
    });
    int number = 0;
    for (RawCaller &caller : callers)
        caller.send("/once/x", fmt::format("r-{}", number++));
    number = 0;
    for (RawCaller &caller : callers) {
        const std::string answer = caller.readToEnd();
        const std::string id = fmt::format("r-{}", number++);
        INFO(id << " was answered with: " << answer);
        CHECK((!isSeen(world, id) || answer.starts_with("HTTP/1.1 200")));
    }
    CHECK(isSeen(world, "r-0"));
    waitUntilEnded(world);
    CHECK(world.node().m_process->exitStatus() == 0);
}

// A VM is stopped while an engine is slow. A fitter's request was read and passed on; when the
// grace time is over the process ends, and the fitter's connection with it, without a byte. The
// fitter can't tell whether the order runs, and waits for a connection's error in place of an
// answer.
TEST_CASE("requests under way at the end of the grace time get an answer")
{
    EntryWorld world;
    answerNever(world);
    stopAndWaitUntilNotReady(world);
    // The routes' time-out is 5 s and the grace time 6 s: sent now, they outlast it.
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));

    SECTION("that says that it may have run, where it may not repeat")
    {
        RawCaller caller;
        REQUIRE(caller.connect(world.node()));
        caller.send("/once/x", "r-1");
        CHECK(caller.readToEnd().starts_with("HTTP/1.1 502"));
        CHECK(isSeen(world, "r-1"));
    }
    SECTION("also a stream that has not begun")
    {
        RawCaller caller;
        REQUIRE(caller.connect(world.node()));
        caller.send("/draft/x", "r-1");
        CHECK(caller.readToEnd().starts_with("HTTP/1.1 502"));
    }
    SECTION("and a stream that has begun is cut where its reader sees it")
    {
        behaveBoth(world,
                   [](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
                       responder.begin(200, headers);
                       responder.write("id: 1\ndata: 1\n\n");
                       sleepFiber(std::chrono::seconds(20));
                   });
        RawCaller caller;
        REQUIRE(caller.connect(world.node()));
        caller.send("/draft/x", "r-1");
        const std::string answer = caller.readToEnd();
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("data: 1") != std::string::npos);
        CHECK(answer.find("\r\n0\r\n") == std::string::npos);
    }
    waitUntilEnded(world);
    // On-call finds the request by its id.
    const std::string log = world.wholeLog(world.node());
    CHECK(log.find("\"event\":\"request-failed\"") != std::string::npos);
    CHECK(log.find("\"request\":\"r-1\"") != std::string::npos);
}

// VMs are stopped and started in turn, some beside each other, settings are reloaded and the
// configuration changes: planned work alone. Callers use new connections, on which a request comes
// a moment later, and kept ones until they are closed. Whatever an upstream has seen is answered: a
// buyer whose request was read never waits at a connection that just ends.
TEST_CASE("no request that was passed on is lost while entry processes stop in turn")
{
    constexpr int nodeCount = 3;
    constexpr int callerCount = 12;
    const std::uint64_t seed = fromEnvironment("GYPSUMDALE_SOAK_SEED", 1);
    const std::uint64_t seconds = fromEnvironment("GYPSUMDALE_SOAK_SECONDS", 10);
    EntryWorld world(nodeCount);
    pcg32 answerTimes(seed, 1);
    // The stand-ins share one loop, so that one stream of numbers serves both.
    behaveBoth(world, [&answerTimes](const HttpRequest &request, HttpResponder &responder,
                                     const HttpHeaders &headers) {
        sleepFiber(std::chrono::milliseconds(answerTimes(400)));
        if (!request.m_target.starts_with("/draft/")) {
            responder.send({200, headers, std::string(answerEnd)});
            return;
        }
        responder.begin(200, headers);
        for (int number = 1; number <= 4; ++number) {
            responder.write(fmt::format("id: {}\ndata: x\n\n", number));
            sleepFiber(std::chrono::milliseconds(answerTimes(150)));
        }
        responder.finish();
    });
    world.store().delayRemovals(std::chrono::milliseconds(300));

    SentRequests sent;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            pcg32 random(seed, 100 + static_cast<std::uint64_t>(caller));
            while (!isOver) {
                const EntryWorld::EntryNode &node = world.node(random(nodeCount));
                if (caller % 2 == 0)
                    callOnce(node, sent, random);
                else
                    callOften(node, sent, random);
            }
        });
    }
    pcg32 random(seed, 2);
    int version = 1;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        const std::uint32_t first = random(nodeCount);
        const std::uint32_t second = (first + 1) % nodeCount;
        const std::uint32_t third = (first + 2) % nodeCount;
        world.node(first).m_process->send(SIGTERM);
        pause(random(900));
        world.node(second).m_process->send(SIGTERM);
        world.node(third).m_process->send(SIGHUP);
        world.configure(++version, {"key"});
        for (const std::uint32_t stopped : {first, second}) {
            EntryWorld::EntryNode &node = world.node(stopped);
            world.waitUntil("it has ended", [&] { return node.m_process->exited(); });
            CHECK(node.m_process->exitStatus() == 0);
            world.start(node);
            world.waitUntil("it is ready", [&] { return world.isReady(node); });
        }
    }
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    const std::set<std::string> lost = sent.lost(world);
    INFO("seed " << seed << ", answered " << sent.answered() << ", lost "
                 << (lost.empty() ? "none" : *lost.begin()));
    CHECK(sent.answered() > 0);
    CHECK(lost.empty());
}
