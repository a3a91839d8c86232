#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <string> // string
#include <utility> // pair
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Returns the entry of an upstream that is well, for a test to spoil.
Json soundEntry()
{
    return {{"service", "app"}, {"address", "127.0.0.1:9"}, {"zone", "here"}, {"version", "v1"},
            {"slots", 8},       {"state", "ready"}};
}

/// Writes entries that no request may be sent to, each odd in its own way.
void writeOddEntries(StoreStandIn &store)
{
    constexpr std::size_t depth = 100'000;
    store.sendRaw("@nested", std::string(depth, '[') + std::string(depth, ']'));
    store.sendRaw("@number", "1e400");
    const std::vector<std::pair<std::string, Json>> oddities = {
            {"slots", "@number"},           {"slots", "@nested"},     {"slots", 1e300},
            {"address", "127.0.0.1:99999"}, {"leaves_ms", "@number"}, {"born", "@number"},
            {"address", "@nested"},         {"unknown", "@number"}};
    int number = 0;
    for (const auto &[field, value] : oddities) {
        Json entry = soundEntry();
        entry[field] = value;
        // One whose odd field nobody reads counts as one of another service.
        if (field == "unknown")
            entry["service"] = "other";
        store.put("servers", "odd-" + std::to_string(number++), entry);
    }
}

} // namespace

// Guards against a VM that stops following its upstreams, or ends, because of one odd entry.
TEST_CASE("an odd entry among those of the upstreams leaves the others in use")
{
    EntryWorld world;
    const auto isFollowed = [&world](const std::string &state) {
        const std::int64_t revision = world.announce(world.upstream(1), state);
        world.waitUntil("the list is followed", [&] {
            return world.fullLog(world.node()).find(fmt::format("\"revision\":{},", revision))
                   != std::string::npos;
        });
    };
    writeOddEntries(world.store());
    isFollowed("draining");
    isFollowed("ready");
    CHECK_FALSE(world.node().m_process->exited());
    CHECK(world.call(world.node(), "/again/x", "r-1").m_status == 200);

    // A process that starts reads the whole list.
    world.node().m_process->send(SIGKILL);
    world.waitUntil("it has ended", [&] { return world.node().m_process->exited(); });
    world.start(world.node());
    world.waitUntil("it is ready", [&] { return world.isReady(world.node()); });
    isFollowed("draining");
    CHECK_FALSE(world.node().m_process->exited());
    CHECK(world.call(world.node(), "/again/x", "r-2").m_status == 200);
}
