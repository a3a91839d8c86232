#include "support/process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr const char *profile = "profile/stock-lookup";

} // namespace

// Guards against a change that is never put in force because a peer has vanished. One of the two
// entry VMs of a data centre neither answers nor refuses, so that nothing proves it gone. The other
// one must not wait for its report on the new version permanently.
TEST_CASE("a neighbour that went silent does not hold changes back")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 5});
    Node &silent = fleet.node(0);
    Node &neighbour = fleet.node(1);
    silent.m_process->send(SIGSTOP);

    std::string body = stockLookupYaml;
    const std::string old = "priority: 1";
    body.replace(body.find(old), old.size(), "priority: 3");
    const auto before = fleet.configVersion(neighbour, profile);
    const Answer written = fleet.putConfig(neighbour, profile, before, body);
    REQUIRE(written.m_status == 200);
    const auto version = written.json()["version"].get<std::uint64_t>();
    fleet.waitUntil("it is in force on the neighbour",
                    [&] { return fleet.configVersion(neighbour, profile) == version; });

    silent.m_process->send(SIGCONT);
    fleet.waitUntil("it is in force on the node that came back",
                    [&] { return fleet.configVersion(silent, profile) == version; });
}
