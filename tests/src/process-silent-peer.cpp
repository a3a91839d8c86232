#include "support/process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr const char *profile = "profile/stock-lookup";

} // namespace

// One of the two entry VMs of a data centre vanishes without a word: its host neither answers nor
// refuses, so that nothing proves it gone. An operator changes a profile. The neighbour waited for
// the vanished node's word on the new version and would never have put it in force.
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
