#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"
#include "support/timed_streams.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono> // milliseconds, steady_clock
#include <csignal> // SIGTERM
#include <regex> // regex, regex_search
#include <string> // string
#include <thread> // sleep_for

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Two VMs, of which the first is cut off from the upstreams and relays through the second one. Its
/// streams may take longer than a stop.
struct RelayedWorld : EntryWorld
{
    RelayedWorld()
        : EntryWorld(2, true)
    {
        serveTimedStreams(*this);
        Json config = configuration(2, {"key"});
        for (Json &route : config["routes"])
            route["timeout-ms"] = 15000;
        // Streams are passed on as they come.
        config["services"][0].erase("engine");
        store().put("config", "main", config);
        separatePaths(0);
        setNewConnections(0, NewConnections::Refused);
        waitUntil("it relays", [&] {
            call(node(0), "/once/1", "early");
            const std::string log = fullLog(node(0));
            return log.find("request-relayed") != std::string::npos
                   && log.find("\"config_version\":2") != std::string::npos;
        });
    }

    void waitUntilEnded(std::size_t index)
    {
        waitUntil("it has ended", [&] { return node(index).m_process->exited(); });
    }
};

std::string longStream(std::string_view id)
{
    return fmt::format(
            "POST /draft/100 HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
            "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody",
            id);
}

bool matches(const std::string &log, const std::string &expression)
{
    return std::regex_search(log, std::regex(expression));
}

} // namespace

// Guards against a stream that ends in a stop without a line that says why: it ran through a VM
// that stopped a second before the VM that took it.
TEST_CASE("a stream cut by the stop of the VM that relays it is logged as such")
{
    RelayedWorld world;
    RawCaller caller;
    REQUIRE(caller.connect(world.node(0).m_callerPort));
    caller.write(longStream("r-1"));
    REQUIRE(caller.readUntil("id: 2").starts_with("HTTP/1.1 200"));
    const auto begin = std::chrono::steady_clock::now();
    world.node(1).m_process->send(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    world.node(0).m_process->send(SIGTERM);
    const std::string answer = caller.readToEnd();
    const auto held = std::chrono::steady_clock::now() - begin;
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
    world.waitUntilEnded(0);
    world.waitUntilEnded(1);
    const std::string taker = world.fullLog(world.node(0));
    const std::string relay = world.fullLog(world.node(1));
    UNSCOPED_INFO(
            "cut after " << std::chrono::duration_cast<std::chrono::milliseconds>(held).count()
                         << " ms\ntaker: " << tailOf(world.logPath(world.node(0)))
                         << "\nrelay: " << tailOf(world.logPath(world.node(1))));
    CHECK(matches(relay, "\"event\":\"request-cut-by-stop\",[^\n]*\"request\":\"r-1\"[^\n]*"
                         "\"source\":\"peer\""));
    CHECK(matches(taker, "\"event\":\"relay-failed\",[^\n]*\"request\":\"r-1\"[^\n]*"
                         "\"peer\":\"entry-1\"[^\n]*\"reason\":\"takes-no-more\""));
}
