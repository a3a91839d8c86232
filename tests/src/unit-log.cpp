#include <gypsumdale/observe/log.hpp>

#include <catch2/catch.hpp>

#include <algorithm> // ranges::count
#include <array> // array
#include <chrono> // milliseconds, seconds, steady_clock
#include <string> // string
#include <thread> // sleep_for, thread
#include <vector> // vector

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace gypsumdale;

namespace {

struct Lines
{
    LogSink sink()
    {
        return [this](std::string_view line) {
            m_lines.emplace_back(line);
            return m_takes;
        };
    }
    std::size_t count(std::string_view part) const
    {
        std::size_t result = 0;
        for (const std::string &line : m_lines)
            result += line.find(part) == std::string::npos ? 0 : 1;
        return result;
    }

    std::vector<std::string> m_lines;
    bool m_takes = true;
};

} // namespace

TEST_CASE("log lines")
{
    Clock clock;
    clock.pause();
    Lines lines;
    const auto logger = LoggerBuilder(clock)
                                .level(LogLevel::Info)
                                .node(NodeId("olten-a-1"))
                                .dataCentre(DataCentreId("olten-a"))
                                .sink(lines.sink())
                                .build();
    const auto written = [&lines](std::string_view key) {
        const std::string &line = lines.m_lines.back();
        const std::string sought = " " + std::string(key) + "=";
        const auto found = line.find(sought);
        return found == std::string::npos ? std::string() : line.substr(found + sought.size());
    };

    SECTION("name time, level, event and origin, then typed fields")
    {
        logger->info("upstream-left", {UpstreamId("r-7"),
                                       {LogField::Reason, "reclaim notice"},
                                       {LogField::Count, 3},
                                       {LogField::Millis, 1.5},
                                       {LogField::State, true}});
        const std::string &line = lines.m_lines.at(0);
        CHECK(line.substr(0, 7) == "time=20");
        CHECK(line.substr(line.find("Z ")) // after the time, which varies
              == "Z level=info event=upstream-left node=olten-a-1 data_centre=olten-a upstream=r-7 "
                 "reason=\"reclaim notice\" count=3 millis=1.5 state=true\n");
    }

    SECTION("carry an error's number and name")
    {
        logger->failure("admission", {ErrorId::QueueFull, "no room"}, {MemberId("acme")});
        CHECK(written("error") == "301 error_name=queue-full text=\"no room\" member=acme\n");
    }

    SECTION("below the level are not written")
    {
        logger->debug("detail");
        CHECK(lines.m_lines.empty());
    }

    SECTION("stay one line with one meaning whatever a text holds")
    {
        // A caller sends a request id with a line break and a forged field. Unescaped, the log
        // would show an additional event that never happened, or control the operator's terminal.
        const std::string hostile = "x\nlevel=error event=forged \"a\\b\x1b[2J\xff\x7f";
        logger->info("request", {{LogField::Text, hostile}});
        CHECK(written("text")
              == "\"x\\nlevel=error event=forged \\\"a\\\\b\\u001b[2J\\ufffd\\u007f\"\n");
        logger->info("request", {{LogField::Text, ""}, {LogField::Name, "a=b"}});
        CHECK(written("text") == "\"\" name=\"a=b\"\n");
    }

    SECTION("hold no credential")
    {
        // A library's error text quotes the header that it could not parse. Written unredacted,
        // anyone who reads the log could act as that operator.
        const std::string key = std::string(secretKeyPrefix) + "0123456789abcdef";
        logger->info("request", {{LogField::Text, "bad header: Bearer s3cret-value, again"}});
        CHECK(written("text") == "\"bad header: Bearer [redacted], again\"\n");
        logger->info("request", {{LogField::Text, "key " + key + " unknown"}});
        CHECK(written("text") == "\"key gypsum-key-[redacted] unknown\"\n");
        logger->info("request", {{LogField::Text, std::string(maxLogTextBytes - 20, 'a') + key}});
        CHECK(lines.count("01234") == 0);
    }

    SECTION("are bounded, cut and marked")
    {
        const std::string text(maxLogTextBytes + 1, 'a');
        logger->info("request", {{LogField::Text, text}});
        CHECK(written("text") == std::string(maxLogTextBytes, 'a') + "...\n");
        const std::string wide(maxLogTextBytes, '\x01');
        logger->info("request",
                     {{LogField::Text, wide}, {LogField::Reason, wide}, {LogField::Port, 1}});
        CHECK(lines.m_lines.back().size() <= maxLogLineBytes);
        CHECK(written("port") == "1 truncated=true\n");
    }

    SECTION("that are not taken are counted")
    {
        lines.m_takes = false;
        logger->info("request");
        CHECK(logger->lostLines() == 1);
    }
}

TEST_CASE("log rate")
{
    // A data centre is cut off, and every request fails, thousands of times per second. Without a
    // rate limit per event, the one line that names the cause is lost among them.
    Clock clock;
    clock.pause();
    Lines lines;
    const auto logger = LoggerBuilder(clock).rate({3, 1.0}).sink(lines.sink()).build();
    for (int i = 0; i < 10; ++i)
        logger->warning("request-failed");
    REQUIRE(lines.count("event=request-failed") == 3);

    SECTION("holds one event back and lets others through")
    {
        logger->warning("peer-lost");
        CHECK(lines.count("event=peer-lost") == 1);
        CHECK(logger->suppressedLines() == 7);
    }

    SECTION("reports what it held back with the next line of the event")
    {
        clock.advance(std::chrono::seconds(1));
        logger->warning("request-failed");
        CHECK(lines.count("event=request-failed suppressed=7\n") == 1);
        logger->reportSuppressed();
        CHECK(lines.count("log-suppressed") == 0);
    }

    SECTION("reports what it held back when no further line comes")
    {
        logger->reportSuppressed();
        CHECK(lines.count("event=log-suppressed suppressed_event=request-failed suppressed=7\n")
              == 1);
        logger->reportSuppressed();
        CHECK(lines.count("log-suppressed") == 1);
    }
}

TEST_CASE("lines of several threads do not mix")
{
    Clock clock;
    Lines lines;
    constexpr std::size_t perThread = 500;
    const auto logger = LoggerBuilder(clock).rate({4 * perThread, 0}).sink(lines.sink()).build();
    constexpr int threadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&logger, thread] {
            for (std::size_t i = 0; i < perThread; ++i)
                logger->info("request", {{LogField::Count, thread}});
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(lines.m_lines.size() == 4 * perThread);
    CHECK(lines.count("event=request count=3\n") == perThread);
}

TEST_CASE("JSON log lines")
{
    Clock clock;
    clock.pause();
    Lines lines;
    const auto logger = LoggerBuilder(clock)
                                .node(NodeId("olten-a-1"))
                                .format(LogFormat::Json)
                                .sink(lines.sink())
                                .build();
    logger->info("request-done", {RequestId("r\"1\n"), {LogField::Millis, 1.5}});
    const std::string &line = lines.m_lines.at(0);
    CHECK(line.substr(0, 9) == R"({"time":")");
    CHECK(line.substr(line.find(R"("level")"))
          == R"("level":"info","event":"request-done","node":"olten-a-1","request":"r\"1\n","millis":1.5})"
             "\n");

    SECTION("stay whole where they are too long")
    {
        const std::string text(maxLogTextBytes, 'x');
        logger->info("long", {{LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text},
                              {LogField::Text, text}});
        CHECK(lines.m_lines.at(1).size() <= maxLogLineBytes);
        CHECK(lines.m_lines.at(1).ends_with("\"truncated\":true}\n"));
    }
}

namespace {

/// Standard output, replaced by another descriptor for a time.
class OutputReplacement
{
public:
    explicit OutputReplacement(int file)
        : m_output(dup(STDOUT_FILENO))
    {
        REQUIRE(dup2(file, STDOUT_FILENO) >= 0);
    }
    ~OutputReplacement()
    {
        dup2(m_output, STDOUT_FILENO);
        close(m_output);
    }
    OutputReplacement(const OutputReplacement &) = delete;
    OutputReplacement &operator=(const OutputReplacement &) = delete;

private:
    int m_output;
};

/// Only limits hangs.
constexpr auto hangGuard = std::chrono::seconds(10);

/// Pair of descriptors. What is written to the second one is read from the first one, which does
/// not block.
struct Ends
{
    ~Ends()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }

    /// Adds to the text what can be read now.
    void readInto(std::string &text)
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::array<char, 4096> bytes{};
        for (ssize_t got = 0; (got = ::read(m_ends[0], bytes.data(), bytes.size())) > 0;)
            text.append(bytes.data(), static_cast<std::size_t>(got));
    }

    std::array<int, 2> m_ends{};
};

/// Connects two TCP sockets, of which the second one sends to the first one.
bool connectLoopback(std::array<int, 2> &sockets)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *target = reinterpret_cast<sockaddr *>(&address);
    if (bind(listener, target, size) != 0 || listen(listener, 1) != 0
        || getsockname(listener, target, &size) != 0)
        return false;
    sockets[1] = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(sockets[1], target, size) != 0)
        return false;
    sockets[0] = accept(listener, nullptr, nullptr);
    close(listener);
    return sockets[0] >= 0;
}

std::string numberedLine(std::size_t number)
{
    std::string line = std::to_string(number) + ' ';
    line.resize(99, 'x');
    return line + '\n';
}

/// Returns the first lines of a log of numbered lines.
std::string numberedLines(std::size_t count)
{
    std::string lines;
    for (std::size_t number = 0; number < count; ++number)
        lines += numberedLine(number);
    return lines;
}

} // namespace

TEST_CASE("lines in batches on standard output")
{
    // The log collector has stopped reading. The process continues: lines are held up to a bound,
    // then refused, to be counted. Once the collector reads again, the lines that were held are
    // written completely and in order.
    Ends pipe;
    REQUIRE(::pipe(pipe.m_ends.data()) == 0);
    BatchedSink batch;
    std::size_t taken = 0;
    std::size_t refused = 0;
    std::string read;
    {
        const OutputReplacement output(pipe.m_ends[1]);
        batch = standardOutputSink();
        constexpr std::size_t lines = 10000;
        for (std::size_t written = 0; written < lines; ++written)
            ++(batch.m_sink(numberedLine(taken)) ? taken : refused);
        pipe.readInto(read);
        while (batch.m_flush() > 0)
            pipe.readInto(read);
        pipe.readInto(read);
    }
    CHECK(refused > 0);
    CHECK(taken * numberedLine(0).size() >= maxLogBacklogBytes);
    const bool isSame = read == numberedLines(taken);
    CHECK(isSame);
}

// Guards against lines that are lost because the collector reads nothing for some hundred
// milliseconds, in which requests that a stop cuts write more than a pipe holds.
TEST_CASE("a burst of lines waits for a slow reader")
{
    Ends pipe;
    REQUIRE(::pipe(pipe.m_ends.data()) == 0);
    constexpr std::size_t lines = 4800;
    std::size_t taken = 0;
    std::string read;
    {
        const OutputReplacement output(pipe.m_ends[1]);
        BatchedSink batch = standardOutputSink();
        while (taken < lines && batch.m_sink(numberedLine(taken)))
            ++taken;
        while (batch.m_flush() > 0)
            pipe.readInto(read);
        pipe.readInto(read);
    }
    CHECK(taken == lines);
    const bool isSame = read == numberedLines(lines);
    CHECK(isSame);
}

// Guards against a torn line whose beginning is written twice, where standard output is a socket
// that accepts a part of a batch.
TEST_CASE("a batch of which a part was written is continued there")
{
    Ends sockets;
    REQUIRE(connectLoopback(sockets.m_ends));
    fcntl(sockets.m_ends[1], F_SETFL, O_NONBLOCK);
    std::size_t taken = 0;
    std::string read;
    {
        const OutputReplacement output(sockets.m_ends[1]);
        BatchedSink batch = standardOutputSink();
        constexpr std::size_t lines = 20000;
        for (std::size_t written = 0; written < lines; ++written) {
            taken += batch.m_sink(numberedLine(taken)) ? 1 : 0;
            constexpr std::size_t linesPerRead = 1000;
            if (written % linesPerRead == 0)
                sockets.readInto(read);
        }
        const auto end = std::chrono::steady_clock::now() + hangGuard;
        const std::size_t size = taken * numberedLine(0).size();
        while (read.size() < size && std::chrono::steady_clock::now() < end) {
            batch.m_flush();
            sockets.readInto(read);
        }
    }
    const bool isSame = read == numberedLines(taken);
    CHECK(isSame);
}

// Guards against the loss of the last lines of a process: the collector takes them a moment after
// the end of what the process does.
TEST_CASE("the last lines wait for a slow reader, for a limited time")
{
    Clock clock;
    Ends pipe;
    REQUIRE(::pipe(pipe.m_ends.data()) == 0);
    fcntl(pipe.m_ends[1], F_SETPIPE_SZ, 4096);
    const OutputReplacement output(pipe.m_ends[1]);
    constexpr std::size_t lines = 200;
    const auto logger = LoggerBuilder(clock).rate({lines, 0}).sink(standardOutputSink()).build();
    for (std::size_t number = 0; number < lines; ++number)
        logger->info("request-done", {{LogField::Count, number}});

    SECTION("that reads after a while")
    {
        std::string read;
        std::thread reader([&pipe, &read] {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const auto end = std::chrono::steady_clock::now() + hangGuard;
            while (read.find("count=199\n") == std::string::npos
                   && std::chrono::steady_clock::now() < end) {
                pipe.readInto(read);
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
        const std::size_t lost = logger->finish(hangGuard);
        reader.join();
        CHECK(lost == 0);
        CHECK(std::ranges::count(read, '\n') == lines);
    }

    SECTION("that does not read")
    {
        const auto begin = std::chrono::steady_clock::now();
        const std::size_t lost = logger->finish(std::chrono::milliseconds(50));
        CHECK(std::chrono::steady_clock::now() - begin < hangGuard);
        std::string read;
        pipe.readInto(read);
        CHECK(lost > 0);
        CHECK(lost + static_cast<std::size_t>(std::ranges::count(read, '\n')) == lines);
        CHECK(logger->lostLines() == lost);
    }
}

// Guards against a log that doesn't say that lines of it are missing.
TEST_CASE("lines that the sink refused are reported in the log")
{
    Clock clock;
    Lines lines;
    const auto logger = LoggerBuilder(clock).sink(lines.sink()).build();
    lines.m_takes = false;
    logger->info("request");
    logger->info("request");
    logger->reportSuppressed();
    lines.m_takes = true;
    logger->reportSuppressed();
    CHECK(lines.m_lines.back().ends_with("event=log-lost count=2\n"));
    const std::size_t written = lines.m_lines.size();
    logger->reportSuppressed();
    CHECK(lines.m_lines.size() == written);
}
