#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array> // array
#include <atomic> // atomic
#include <chrono> // milliseconds
#include <csignal> // SIGKILL, SIGTERM
#include <filesystem> // remove
#include <memory> // make_unique, unique_ptr
#include <mutex> // lock_guard, mutex
#include <sstream> // istringstream
#include <string> // getline, string
#include <string_view> // string_view
#include <thread> // sleep_for, thread
#include <utility> // move
#include <vector> // vector

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Reads the log of a process from a pipe, unless it is told to stand still.
class PipedLog
{
public:
    PipedLog(std::string path, int pipeBytes)
        : m_path(std::move(path))
    {
        std::filesystem::remove(m_path);
        REQUIRE(mkfifo(m_path.c_str(), 0600) == 0);
        m_file = open(m_path.c_str(), O_RDONLY | O_NONBLOCK);
        REQUIRE(m_file >= 0);
        REQUIRE(fcntl(m_file, F_SETPIPE_SZ, pipeBytes) >= pipeBytes);
        m_reader = std::thread([this] { read(); });
    }

    /// The path is removed, as whoever opened it without a writer would wait.
    ~PipedLog()
    {
        m_isOver = true;
        m_reader.join();
        close(m_file);
        std::filesystem::remove(m_path);
    }

    PipedLog(const PipedLog &) = delete;
    PipedLog &operator=(const PipedLog &) = delete;

    void setReading(bool isReading) { m_isReading = isReading; }

    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

    bool has(std::string_view part) const { return text().find(part) != std::string::npos; }

private:
    void read()
    {
        while (!m_isOver) {
            if (m_isReading)
                readOnce();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    void readOnce()
    {
        std::array<char, 4096> bytes{};
        const ssize_t got = ::read(m_file, bytes.data(), bytes.size());
        if (got <= 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_text.append(bytes.data(), static_cast<std::size_t>(got));
    }

    std::string m_path;
    int m_file = -1;
    std::atomic<bool> m_isReading = true;
    std::atomic<bool> m_isOver = false;
    mutable std::mutex m_mutex;
    std::string m_text;
    std::thread m_reader;
};

/// An entry process whose log is read from a pipe of a given size.
struct PipedWorld
{
    explicit PipedWorld(int pipeBytes)
    {
        EntryWorld::EntryNode &node = m_world.node();
        node.m_process->send(SIGKILL);
        m_world.waitUntil("it has ended", [&] { return node.m_process->exited(); });
        m_log = std::make_unique<PipedLog>(m_world.logPath(node), pipeBytes);
        m_world.start(node);
        m_world.waitUntil("it is ready", [&] { return m_world.isReady(node); });
    }

    void waitUntilEnded()
    {
        m_world.waitUntil("it has ended", [&] { return m_world.node().m_process->exited(); });
    }

    /// Returns the whole log of a process that has ended.
    std::string lastLog()
    {
        m_log->setReading(true);
        for (std::size_t before = 0; before < m_log->text().size();) {
            before = m_log->text().size();
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return m_log->text();
    }

    EntryWorld m_world;
    std::unique_ptr<PipedLog> m_log;
};

std::string requestOf(std::string_view target, std::string_view id)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                       "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody",
                       target, id);
}

/// Returns whether a text consists of whole JSON objects, one a line.
bool consistsOfLines(const std::string &text)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!Json::accept(line))
            return false;
    }
    return text.ends_with('\n');
}

bool hasLine(const std::string &log, std::string_view event, std::string_view id)
{
    const std::string eventText = fmt::format("\"event\":\"{}\"", event);
    const std::string idText = fmt::format("\"request\":\"{}\"", id);
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        if (line.find(eventText) != std::string::npos && line.find(idText) != std::string::npos)
            return true;
    }
    return false;
}

bool hasLine(const std::string &log, std::string_view event)
{
    return log.find(fmt::format("\"event\":\"{}\"", event)) != std::string::npos;
}

} // namespace

// Guards against requests that a stop cuts without a line in the log: many are cut at once, and
// whoever reads the log takes nothing until a moment after that. More is logged than the pipe
// holds.
TEST_CASE("each request that a stop cuts is logged although the log's reader is late")
{
    constexpr int smallPipe = 4096;
    // Fewer than the upstreams have slots.
    constexpr int requests = 12;
    PipedWorld piped(smallPipe);
    EntryWorld &world = piped.m_world;
    world.behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.begin(200, headers);
        responder.write("id: 1\ndata: 1\n\n");
        sleepFiber(std::chrono::seconds(20));
    });
    // The routes' timeout is 5 s, and the grace time 6 s.
    std::vector<RawCaller> callers(requests);
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    for (int number = 0; number < requests; ++number) {
        REQUIRE(callers[number].connect(world.node().m_callerPort));
        callers[number].write(requestOf("/draft/x", fmt::format("r-{}", number)));
    }
    for (RawCaller &caller : callers)
        REQUIRE(caller.readUntil("data: 1").starts_with("HTTP/1.1 200"));
    piped.m_log->setReading(false);
    for (RawCaller &caller : callers)
        caller.readToEnd();
    piped.m_log->setReading(true);
    piped.waitUntilEnded();
    const std::string log = piped.lastLog();
    CHECK(consistsOfLines(log));
    int cut = 0;
    int failed = 0;
    for (int number = 0; number < requests; ++number) {
        cut += hasLine(log, "request-cut-by-stop", fmt::format("r-{}", number)) ? 1 : 0;
        failed += hasLine(log, "request-failed", fmt::format("r-{}", number)) ? 1 : 0;
    }
    CHECK(cut == requests);
    CHECK(failed == requests);
    CHECK(hasLine(log, "drained"));
    CHECK(hasLine(log, "stopped"));
}

// Guards against a log without its end: its reader is late when the process ends, and the last
// lines were tried once.
TEST_CASE("the last lines of a process wait for the log's reader")
{
    constexpr int smallPipe = 4096;
    constexpr int requests = 40;
    PipedWorld piped(smallPipe);
    EntryWorld &world = piped.m_world;
    piped.m_log->setReading(false);
    for (int number = 0; number < requests; ++number)
        REQUIRE(world.call(world.node(), "/once/x", fmt::format("r-{}", number)).m_status == 200);
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it leaves the registry",
                    [&] { return !world.store().has("entry-nodes", world.node().m_name); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    piped.m_log->setReading(true);
    piped.waitUntilEnded();
    const std::string log = piped.lastLog();
    CHECK(consistsOfLines(log));
    for (int number = 0; number < requests; ++number)
        CHECK(hasLine(log, "request-done", fmt::format("r-{}", number)));
    CHECK(hasLine(log, "drained"));
    CHECK(hasLine(log, "stopped"));
    CHECK(world.node().m_process->exitStatus() == 0);
}

// Guards against a process that waits for whoever reads its log: the reader has stopped for good.
TEST_CASE("a process ends in time although nobody reads its log")
{
    constexpr int smallPipe = 4096;
    constexpr int requests = 40;
    PipedWorld piped(smallPipe);
    EntryWorld &world = piped.m_world;
    piped.m_log->setReading(false);
    for (int number = 0; number < requests; ++number)
        REQUIRE(world.call(world.node(), "/once/x", fmt::format("r-{}", number)).m_status == 200);
    const auto begin = std::chrono::steady_clock::now();
    world.node().m_process->send(SIGTERM);
    piped.waitUntilEnded();
    // The grace time.
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(6));
    CHECK(world.node().m_process->exitStatus() == 0);
}
