#include "support/process_fleet.hpp"
#include "support/raw_caller.hpp"

#include <csignal> // SIGTERM

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

// Guards against a caller that gets neither an answer nor a refusal when an idle entry VM is
// stopped. The balancer's last connection is accepted just before the process stops accepting, and
// its request arrives while the process ends, as it counts requests but no connections.
TEST_CASE("a planned stop waits for the request of the last connection")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 20});
    Node &leaving = fleet.node(0);
    leaving.m_process->send(SIGTERM);
    fleet.waitUntil("it says that it isn't ready", [&] {
        return fleet.call(leaving.m_callerPort, "GET", "/readyz").m_status == 503;
    });
    RawCaller caller;
    REQUIRE(caller.connect(leaving.m_callerPort));
    fleet.waitUntil("new connections are refused", [&] {
        RawCaller probe;
        return !probe.connect(leaving.m_callerPort);
    });

    caller.write(
            fmt::format("POST /services/trade-app/stock HTTP/1.1\r\nHost: h.example\r\n"
                        "Authorization: Bearer {}\r\nX-Profile: stock-lookup\r\n"
                        "X-Business-Key: last\r\nContent-Length: 13\r\n\r\n{{\"part\":\"M8\"}}",
                        ProcessFleet::alice));
    const std::string answer = caller.readToEnd();
    INFO("the answer: " << answer);
    CHECK(answer.starts_with("HTTP/1.1 "));
    fleet.waitUntil("the process ended", [&] { return leaving.m_process->exited(); });
}
