#include "support/process_fleet.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Six seconds.
constexpr int longTokens = 120;
/// Exit status of a process that has cut requests.
constexpr int cutExitStatus = 4;
constexpr std::string_view streamEnd = "data: [DONE]";

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

} // namespace

// Guards against requests that are cut at the end of a stop without a word of which they were.
TEST_CASE("a process that stops names the requests that it cuts")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 50, 5});
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
