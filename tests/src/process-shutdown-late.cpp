#include "support/process_fleet.hpp"
#include "support/raw_caller.hpp"

#include <csignal> // SIGTERM

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Time from the cause of a stop to the end of the VM. Connections are accepted
/// for a third of it, and what is left is cut half a second before its end.
constexpr int stopMillis = 6000;
/// Both outlast the stop: at 50 ms a token, and at the service's delay.
constexpr int longTokens = 120;
constexpr int serviceMillis = 6000;
/// Exit status of a process that has cut requests.
constexpr int cutExitStatus = 4;
/// Half a second.
constexpr int shortTokens = 10;

constexpr std::string_view streamEnd = "data: [DONE]";
constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

std::string headOf(std::string_view target, std::string_view profile, std::string_view rest)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {}\r\n"
                       "X-Profile: {}\r\n{}\r\n\r\n",
                       target, ProcessFleet::alice, profile, rest);
}

std::string chatBody(int tokens)
{
    return nlohmann::json{{"model", "gypsum-llm"},
                          {"stream", true},
                          {"max_tokens", tokens},
                          {"target_tokens", tokens},
                          {"messages", {{{"role", "user"}, {"content", "late"}}}}}
            .dump();
}

std::string chatRequest(int tokens)
{
    const std::string body = chatBody(tokens);
    return headOf("/v1/chat/completions", "part-match",
                  fmt::format("Content-Length: {}", body.size()))
           + body;
}

std::string onceRequest(std::string_view businessKey)
{
    constexpr std::string_view body = R"({"part":"M8"})";
    return headOf("/services/trade-app/stock", "stock-lookup",
                  fmt::format("X-Business-Key: {}\r\nContent-Length: {}", businessKey, body.size()))
           + std::string(body);
}

/// Gives a stop by SIGTERM the same times as a reclaim notice of `stopMillis`.
void shortenDrain(ProcessFleet &fleet)
{
    std::string settings = fleetYaml({"zone-a", "zone-b"});
    const std::string tail = settings.substr(settings.find("drain:"));
    settings.resize(settings.size() - tail.size());
    settings += fmt::format("drain:\n  readiness-lead: 5s\n  node: {}ms\n  upstream: 20s\n",
                            stopMillis);
    const std::uint64_t version = fleet.configVersion(fleet.node(0), "fleet/settings");
    const Answer answer = fleet.putConfig(fleet.node(0), "fleet/settings", version, settings);
    INFO(answer.m_body);
    REQUIRE(answer.m_status == 200);
    fleet.waitUntil("the times are in force",
                    [&] { return fleet.configVersion(fleet.node(0), "fleet/settings") > version; });
}

void waitUntilNotReady(ProcessFleet &fleet, const Node &node)
{
    fleet.waitUntil("it says that it isn't ready", [&] {
        return fleet.call(node.m_callerPort, "GET", "/readyz").m_status == 503;
    });
}

void stopByNotice(ProcessFleet &fleet, const Node &node, int millis)
{
    fleet.standin("cloud", "POST", "/admin/reclaim",
                  {{"vm", node.m_name}, {"noticeMillis", millis}, {"die", false}});
    waitUntilNotReady(fleet, node);
}

void checkNotRun(std::string_view what, const std::string &answer)
{
    INFO(what << " was answered with: " << answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("X-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
}

} // namespace

// Guards against requests that are taken after the cause of a stop, passed on,
// and cut without an answer at its end, although each of them was known to
// outlast it: a caller doesn't know whether its request, which may not be
// repeated, has run.
TEST_CASE("a process that stops begins no request that it would cut")
{
    const auto isNotice = GENERATE(true, false);
    INFO("by notice: " << isNotice);
    ProcessFleet fleet({{"zone-a", "zone-b"}, 50, serviceMillis});
    shortenDrain(fleet);
    Node &leaving = fleet.node(0);

    RawCaller streamOnOpen;
    RawCaller onceOnOpen;
    RawCaller chunked;
    RawCaller behind;
    for (RawCaller *caller : {&streamOnOpen, &onceOnOpen, &chunked, &behind})
        REQUIRE(caller->connect(leaving.m_callerPort));
    const std::string body = chatBody(longTokens);
    const std::string firstPart = body.substr(0, body.size() / 2);
    const std::string secondPart = body.substr(firstPart.size());
    chunked.write(headOf("/v1/chat/completions", "part-match", "Transfer-Encoding: chunked")
                  + fmt::format("{:x}\r\n{}\r\n", firstPart.size(), firstPart));
    behind.write(chatRequest(3 * shortTokens));
    CHECK(behind.readUntil(headEnd).starts_with("HTTP/1.1 200"));
    behind.write(onceRequest("behind"));

    if (isNotice) {
        stopByNotice(fleet, leaving, stopMillis);
    } else {
        leaving.m_process->send(SIGTERM);
        waitUntilNotReady(fleet, leaving);
    }
    streamOnOpen.write(chatRequest(longTokens));
    onceOnOpen.write(onceRequest("open"));
    chunked.write(fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", secondPart.size(), secondPart));
    RawCaller streamOnNew;
    RawCaller onceOnNew;
    RawCaller shortOnNew;
    for (RawCaller *caller : {&streamOnNew, &onceOnNew, &shortOnNew})
        REQUIRE(caller->connect(leaving.m_callerPort));
    streamOnNew.write(chatRequest(longTokens));
    onceOnNew.write(onceRequest("new"));
    shortOnNew.write(chatRequest(shortTokens));

    // What was begun before the stop, and what ends in time, is served.
    CHECK(behind.readUntil(lastChunk).find(streamEnd) != std::string::npos);
    CHECK(shortOnNew.readUntil(lastChunk).find(streamEnd) != std::string::npos);
    checkNotRun("a stream on an open connection", streamOnOpen.readToEnd());
    checkNotRun("a request on an open connection", onceOnOpen.readToEnd());
    checkNotRun("a body in chunks", chunked.readToEnd());
    checkNotRun("a request behind another", behind.readToEnd());
    checkNotRun("a stream on a new connection", streamOnNew.readToEnd());
    checkNotRun("a request on a new connection", onceOnNew.readToEnd());
    fleet.waitUntil("the process ended", [&] { return leaving.m_process->exited(); });
    CHECK(leaving.m_process->exitStatus() == 0);
    for (const std::string key : {"open", "behind", "new"}) {
        INFO(key);
        CHECK(fleet.runs(key) == 0);
    }
}

// Guards against requests that are cut at the end of a stop without a word of
// which they were.
TEST_CASE("a process that stops names the requests that it cuts")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 50, serviceMillis});
    Node &leaving = fleet.node(0);
    RawCaller stream;
    REQUIRE(stream.connect(leaving.m_callerPort));
    stream.write(chatRequest(longTokens));
    const std::string head = stream.readUntil(headEnd);
    CHECK(head.starts_with("HTTP/1.1 200"));
    constexpr std::string_view idName = "X-Request-Id: ";
    REQUIRE(head.find(idName) != std::string::npos);
    const std::size_t from = head.find(idName) + idName.size();
    const std::string id = head.substr(from, head.find("\r\n", from) - from);

    stopByNotice(fleet, leaving, 2000);
    CHECK(stream.readToEnd().find(streamEnd) == std::string::npos);
    fleet.waitUntil("the process ended", [&] { return leaving.m_process->exited(); });
    CHECK(leaving.m_process->exitStatus() == cutExitStatus);
    const std::string log = fleet.logTails();
    const std::size_t line = log.find("event=request-cut-by-stop");
    INFO(log);
    REQUIRE(line != std::string::npos);
    CHECK(log.substr(line, log.find('\n', line) - line).find(id) != std::string::npos);
}
