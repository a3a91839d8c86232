#include <gypsumdale/observe/log.hpp>

#include <catch2/catch.hpp>

#include <array> // array
#include <string> // string
#include <thread> // thread
#include <vector> // vector

#include <fcntl.h>
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

TEST_CASE("lines in batches on standard output")
{
    // The log collector has stopped reading. The process continues: lines are refused, to be
    // counted. Once the collector reads again, the buffered lines are written completely and in
    // order.
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    const int output = dup(STDOUT_FILENO);
    REQUIRE(dup2(ends[1], STDOUT_FILENO) >= 0);
    BatchedSink batch = standardOutputSink();
    const std::string line = std::string(99, 'x') + '\n';
    std::size_t taken = 0;
    std::size_t refused = 0;
    for (int written = 0; written < 5000; ++written)
        ++(batch.m_sink(line) ? taken : refused);
    std::string read(std::size_t{1} << 20, '\0');
    std::size_t size = 0;
    const auto readAll = [&] {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t got = 0; (got = ::read(ends[0], &read[size], read.size() - size)) > 0;)
            size += static_cast<std::size_t>(got);
    };
    readAll();
    batch.m_flush();
    readAll();
    dup2(output, STDOUT_FILENO);
    close(output);
    close(ends[0]);
    close(ends[1]);
    CHECK(refused > 0);
    CHECK(size == taken * line.size());
}
