#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal> // SIGTERM
#include <string> // string
#include <string_view> // string_view
#include <thread> // sleep_for

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// More than the kernel buffers for a connection on both its sides.
constexpr std::size_t longerThanBuffers = std::size_t{32} * 1024 * 1024;

/// Returns a request whose deadline is longer than a stop takes.
std::string requestOf(std::string_view target, std::string_view version)
{
    return fmt::format("POST {} HTTP/{}\r\nHost: h.example\r\nGypsumdale-Request-Id: r-1\r\n"
                       "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody",
                       target, version);
}

void answerLong(EntryWorld &world)
{
    world.behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.send({200, headers, std::string(longerThanBuffers, 'x')});
    });
}

} // namespace

// Guards against a connection that ends without an answer. An HTTP/1.0 caller's stream is collected
// before it is sent, so nothing has been sent when the VM stops and the grace time is over.
TEST_CASE("a stream that is collected for a caller of HTTP/1.0 ends with an answer")
{
    EntryWorld world;
    world.behave([](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
        responder.begin(200, headers);
        responder.write("id: 1\ndata: 1\n\n");
        sleepFiber(std::chrono::seconds(20));
    });
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    RawCaller caller;
    REQUIRE(caller.connect(world.node().m_callerPort));
    caller.write(requestOf("/draft/x", "1.0"));
    const std::string answer = caller.readToEnd();
    INFO("the answer: " << answer);
    CHECK(answer.find(" 502 ") != std::string::npos);
}

// Guards against a truncated answer without a log line. The caller reads slowly, so that the end of
// a long answer has not reached the kernel when the VM stops and the grace time is over.
TEST_CASE("an answer that is cut by the end of the process is logged")
{
    EntryWorld world;
    answerLong(world);
    world.node().m_process->send(SIGTERM);
    world.waitUntil("it says that it isn't ready", [&] { return !world.isReady(world.node()); });
    RawCaller caller;
    REQUIRE(caller.connect(world.node().m_callerPort));
    caller.write(requestOf("/once/x", "1.1"));
    world.waitUntil("it has ended", [&] { return world.node().m_process->exited(); });
    CHECK(caller.readToEnd().size() < longerThanBuffers);
    const std::string log = world.fullLog(world.node());
    CHECK(log.find("\"event\":\"request-failed\"") != std::string::npos);
}
