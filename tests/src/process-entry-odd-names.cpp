#include "support/entry_world.hpp"

#include <catch2/catch.hpp>

#include <csignal> // SIGKILL
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <string> // string

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr std::size_t vms = 2;

/// Writes sound entries of another service that fill a page of the list but for its last place.
/// Their names lie between "b" and most names that begin with it, so that a list that goes on
/// behind a part of such a name comes to the same page again.
void fillPage(StoreStandIn &store, const std::string &kind)
{
    const Json entry = {{"service", "other"}, {"address", "127.0.0.1:9"},
                        {"zone", "here"},     {"version", "v1"},
                        {"slots", 8},         {"state", "ready"}};
    for (std::size_t number = 1; number < StoreStandIn::defaultPageItems; ++number)
        store.put(kind, "b!" + std::to_string(number), entry);
}

/// Kills all VMs at once and starts them again.
void restartAll(EntryWorld &world)
{
    for (std::size_t index = 0; index < vms; ++index)
        world.node(index).m_process->send(SIGKILL);
    for (std::size_t index = 0; index < vms; ++index)
        world.waitUntil("it has ended", [&] { return world.node(index).m_process->exited(); });
    for (std::size_t index = 0; index < vms; ++index)
        world.start(world.node(index));
    for (std::size_t index = 0; index < vms; ++index)
        world.waitUntil("it is ready", [&] { return world.isReady(world.node(index)); });
}

/// Checks that each VM serves requests, by whichever upstreams.
void checkServed(EntryWorld &world)
{
    for (std::size_t index = 0; index < vms; ++index) {
        for (int number = 0; number < 10; ++number) {
            const std::string id = "r-" + std::to_string(index) + "-" + std::to_string(number);
            CHECK(world.call(world.node(index), "/again/x", id).m_status == 200);
        }
    }
}

const Json foreignEntry = {{"written-by", "another"}};

/// Checks that VMs that start beside an entry serve requests. The entry is the last of its page.
void checkServedBeside(const std::string &kind, const std::string &name)
{
    EntryWorld world(vms);
    fillPage(world.store(), kind);
    world.store().put(kind, name, foreignEntry);
    restartAll(world);
    checkServed(world);
}

} // namespace

// Guards against a list of upstreams that can't be read on from an odd name, so that no VM starts.
TEST_CASE("an odd name at the end of a page leaves the upstreams behind it in use")
{
    const std::string name =
            GENERATE(as<std::string>{}, "b&c", "b&watch=1", "b+c", "b#c", "b%c", "b%", "b%41",
                     "b!4 c", "b!4\tc", "b!4\rc", "b!4\nc", "b!4\x7f", std::string("b!4\0c", 5),
                     "b" + std::string(3000, '&'), "b/c", "b?c", "b=c", "b;c", "b\xc3\xa9");
    INFO(Json(name.substr(0, 20)));
    checkServedBeside("servers", name);
}

// The same for a name that is longer than the request line that servers take.
TEST_CASE("a long name at the end of a page leaves the upstreams behind it in use")
{
    const std::string name = GENERATE(std::string(40'000, 'b'), "b" + std::string(20'000, '&'));
    checkServedBeside("servers", name);
}

// The same where the item has no name that could be told.
TEST_CASE("an item without a name at the end of a page leaves the upstreams behind it in use")
{
    const std::string item =
            GENERATE(as<std::string>{}, R"({"metadata":{"name":""}})", R"({"metadata":{"name":7}})",
                     R"({"metadata":{"name":null}})", R"({"metadata":{"name":1e400}})",
                     R"({"metadata":"b"})", R"({"spec":{}})", "null", R"("text")", "[1]",
                     "{\"metadata\":{\"name\":\"b\xff\"}}", R"({"metadata":{"name":"b\ud800"}})");
    INFO(item);
    EntryWorld world(vms);
    fillPage(world.store(), "servers");
    world.store().putRawItem("servers", "b!4", item);
    restartAll(world);
    checkServed(world);
}

// Guards against VMs that never learn their configuration because of another writer's object.
TEST_CASE("an odd name before the configuration leaves that in force")
{
    const std::string name =
            GENERATE(as<std::string>{}, "b&c", "b+c", "b#c", "b%c", "b!4 c", "b!4\r\nc", "b/c");
    INFO(name);
    checkServedBeside("config", name);
}

// Guards against VMs that stop following their upstreams when such an entry comes and goes.
TEST_CASE("entries with odd names that come and go are followed past")
{
    EntryWorld world(vms, true);
    for (const char *name : {"b&c", "b+c", "b#c", "b%c", "b c", "b\r\nc", "", "b/c"}) {
        INFO(name);
        world.store().put("servers", name, foreignEntry);
        world.store().remove("servers", name);
        const std::int64_t revision = world.announce(world.upstream(1), "draining");
        world.announce(world.upstream(1), "ready");
        for (std::size_t index = 0; index < vms; ++index) {
            world.waitUntil("the list is followed", [&] {
                return world.store().receivedUpstreamRevision(world.node(index).m_name) > revision;
            });
        }
    }
    checkServed(world);
}

// Guards against another writer's entries that count as VMs, which each get a share of what the
// fleet may use.
TEST_CASE("odd entries in the registry of VMs count as no VM")
{
    EntryWorld world(vms);
    StoreStandIn &store = world.store();
    for (const char *name : {"b&c", "b#c", "b%c", "b!4 c", "entry-0?x", "entry-0/x"})
        store.put("entry-nodes", name, foreignEntry);
    for (const char *address : {"", "10.0.0.1", "10.0.0.1:0", "host:80", "10.0.0.300:80"})
        store.put("entry-nodes", std::string("b") + address, {{"address", address}});
    store.putRawItem("entry-nodes", "c", "null");
    const std::size_t before = world.fullLog(world.node()).size();
    restartAll(world);
    const auto hasLogged = [&](const std::string &text) {
        return world.fullLog(world.node()).find(text, before) != std::string::npos;
    };
    world.waitUntil("it shares what the fleet may use with one VM", [&] {
        return hasLogged(R"("event":"retry-budget-shared","node":"entry-0","data_centre":"here",)"
                         R"("count":2,)");
    });
    CHECK(hasLogged("registry-entry-unusable"));
    CHECK(world.fullLog(world.node()).find(R"("peer":"b)") == std::string::npos);
    checkServed(world);
}
