#include "support/crash_world.hpp"

#include <catch2/catch.hpp>

#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

Json entriesAt(CrashWorld &world, std::size_t index)
{
    const EntryAnswer answer = world.get(world.node(index).m_metricsPort, "/-/quarantine");
    REQUIRE(answer.m_status == 200);
    return Json::parse(answer.m_body)["entries"];
}

bool isLiftedAt(CrashWorld &world, std::size_t index)
{
    const Json entries = entriesAt(world, index);
    return entries.size() == 1 && entries[0]["state"] == "lifted";
}

} // namespace

// Guards against a verdict that operators can neither see nor end.
TEST_CASE("what is rejected is shown at all VMs and lifted at all of them by one")
{
    CrashWorld world(2);
    for (int attempt = 0; attempt < 5; ++attempt)
        world.sendCrashingPart(0);
    for (std::size_t index = 0; index < world.nodeCount(); ++index) {
        world.waitUntil("it is known", [&] { return entriesAt(world, index).size() == 1; });
        const Json entry = entriesAt(world, index)[0];
        CHECK(entry["state"] == "rejected");
        CHECK(entry["elements"].get<std::string>().find(crashingPart) != std::string::npos);
    }
    CHECK(world.sendCrashingPart(1).m_status == 503);

    const std::string id = entriesAt(world, 0)[0]["id"];
    CHECK(world.post(world.node(0).m_metricsPort, "/-/quarantine/lift/" + id).m_status == 200);
    for (std::size_t index = 0; index < world.nodeCount(); ++index)
        world.waitUntil("it is lifted", [&] { return isLiftedAt(world, index); });
    const int before = world.ends();
    world.sendCrashingPart(1);
    CHECK(world.ends() > before);
}
