#include "support/process_fleet.hpp"

#include <future> // async

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr const char *profile = "profile/stock-lookup";

/// Returns the profile with another priority: a new version whose body differs from the others.
std::string withPriority(int priority)
{
    std::string text = stockLookupYaml;
    const std::string old = "priority: 1";
    return text.replace(text.find(old), old.size(), "priority: " + std::to_string(priority));
}

std::string bodyInForce(ProcessFleet &fleet, const Node &node)
{
    const auto shown = fleet.show(node, std::string("config/") + profile);
    return shown.is_object() ? shown.value("body", "") : "";
}

/// Writes the next version and waits until it is in force on all nodes. Returns it.
std::uint64_t change(ProcessFleet &fleet, const std::string &body)
{
    const auto before = fleet.configVersion(fleet.node(0), profile);
    const Answer answer = fleet.putConfig(fleet.node(0), profile, before, body);
    REQUIRE(answer.m_status == 200);
    const auto version = answer.json()["version"].get<std::uint64_t>();
    for (const Node &node : fleet.nodes()) {
        fleet.waitUntil("it is in force on " + node.m_name,
                        [&] { return fleet.configVersion(node, profile) == version; });
    }
    return version;
}

} // namespace

// Guards against a change that is in force on some nodes only, and against a document with a
// mistake that is accepted in part. An operator writes a profile through one entry VM; callers on
// all of them get the new one, and the rollout reports it. A refused document names the place of
// the mistake.
TEST_CASE("a change is in force on all nodes")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 5});
    std::string narrowed = withPriority(2);
    const std::string services = "[trade-app]";
    narrowed.replace(narrowed.find(services), services.size(), "[gypsum-llm]");
    const auto version = change(fleet, narrowed);
    for (const Node &node : fleet.nodes()) {
        INFO(node.m_name);
        REQUIRE(bodyInForce(fleet, node).starts_with(narrowed));
        REQUIRE(fleet.lookUp(node, "narrowed").m_status == 404);
    }
    const auto rollout = fleet.show(fleet.node(3), std::string("rollout/") + profile);
    REQUIRE(rollout["version"] == version);
    for (const auto &dataCentre : rollout["dataCentres"]) {
        REQUIRE(dataCentre["nodes"].size() == 2);
        for (const auto &node : dataCentre["nodes"])
            REQUIRE(node["version"] == version);
    }
    const Answer refused = fleet.putConfig(fleet.node(1), profile, version, "latency: 3\n");
    REQUIRE(refused.m_status == 422);
    REQUIRE(refused.json()["findings"][0]["line"] == 1);
    REQUIRE(fleet.configVersion(fleet.node(1), profile) == version);
}

// Guards against a lost update when two operators edit the same version through two data centres at
// once. One write wins; the other operator gets both texts.
TEST_CASE("two operators edit the same version")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 5});
    const auto before = fleet.configVersion(fleet.node(0), profile);
    const auto put = [&](std::size_t node, int priority) {
        return std::async(std::launch::async, [&fleet, before, node, priority] {
            return fleet.putConfig(fleet.node(node), profile, before, withPriority(priority));
        });
    };
    auto left = put(0, 4);
    auto right = put(2, 5);
    const Answer answers[] = {left.get(), right.get()};
    const bool leftWon = answers[0].m_status == 200;
    const Answer &won = answers[leftWon ? 0 : 1];
    const Answer &lost = answers[leftWon ? 1 : 0];
    INFO(won.m_body << "\n" << lost.m_body);
    REQUIRE(won.m_status == 200);
    REQUIRE(lost.m_status == 409);
    const auto conflict = lost.json();
    REQUIRE(conflict["current"]["version"] == won.json()["version"]);
    REQUIRE(conflict["current"]["body"].get<std::string>().starts_with(
            withPriority(leftWon ? 4 : 5)));
    REQUIRE(conflict["edited"]["body"].get<std::string>().starts_with(
            withPriority(leftWon ? 5 : 4)));
}

// Guards against serving by an old profile after a restart. A changed profile is in force
// everywhere, then the platform is unavailable, and one or both entry VMs of a data centre restart
// meanwhile.
TEST_CASE("a node restarted in an outage serves no older version")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 5});
    const std::size_t restarted = GENERATE(1U, 2U);
    INFO("restarted: " << restarted);
    const auto version = change(fleet, withPriority(3));
    fleet.addFault("platform", {{"fault", "outage"}});
    for (std::size_t index = 0; index < restarted; ++index) {
        fleet.node(index).m_process->send(SIGKILL);
        fleet.waitUntil("it ended", [&] { return fleet.node(index).m_process->exited(); });
    }
    for (std::size_t index = 0; index < restarted; ++index)
        fleet.start(fleet.node(index));

    const auto neverOlder = [&] {
        for (std::size_t index = 0; index < restarted; ++index) {
            const Node &node = fleet.node(index);
            const bool wasReady = fleet.isReady(node);
            const Answer served = fleet.lookUp(node, "after");
            const auto has = fleet.configVersion(node, profile);
            INFO(node.m_name << " " << served.m_status << " has " << has);
            if (wasReady || served.m_status == 200)
                REQUIRE(has == version);
        }
    };
    if (restarted == 1) {
        fleet.waitUntil("its neighbour's answer made it ready", [&] {
            neverOlder();
            return fleet.isReady(fleet.node(0));
        });
    } else {
        // Nobody in the data centre knows what was in force, so its nodes wait for the platform.
        // Each answers calls meanwhile, so that the checks below meet a running process.
        for (int round = 0; round < 100; ++round)
            neverOlder();
        fleet.clearFaults("platform");
    }
    for (std::size_t index = 0; index < restarted; ++index) {
        fleet.waitUntil("it is ready", [&] {
            neverOlder();
            return fleet.isReady(fleet.node(index));
        });
        REQUIRE(fleet.lookUp(fleet.node(index), "at last").m_status == 200);
    }
    neverOlder();
}

// Guards against an operator's change that is reported as failed or applied twice because the
// platform's answer to the write was lost. The entry VM reads the object back, recognises its own
// write and reports it as accepted, once.
TEST_CASE("a lost answer to an operator's change is settled")
{
    ProcessFleet fleet({{"zone-a", "zone-b"}, 5, 5});
    const auto before = fleet.configVersion(fleet.node(0), profile);
    fleet.addFault("platform", {{"fault", "close-after"},
                                {"count", 1},
                                {"match", "PUT /v1/objects/settings/profile/"}});
    const Answer answer = fleet.putConfig(fleet.node(0), profile, before, withPriority(7));
    INFO(answer.m_status << " " << answer.m_body);
    REQUIRE(fleet.standin("platform", "GET", "/admin/faults").dump().find("close-after")
            == std::string::npos);
    REQUIRE(answer.m_status == 200);
    const auto version = answer.json()["version"].get<std::uint64_t>();
    REQUIRE(version > before);
    for (const Node &node : fleet.nodes()) {
        fleet.waitUntil("it is in force",
                        [&] { return fleet.configVersion(node, profile) == version; });
        REQUIRE(bodyInForce(fleet, node).starts_with(withPriority(7)));
    }
}
