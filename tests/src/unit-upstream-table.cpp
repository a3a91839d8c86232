#include "fleet_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm> // count_if

using namespace gypsumdale;
using namespace gypsumdale::test;

namespace {

const ServiceId service("asistente");
const DataCentreId banos("banos");

FleetWorld worldWithRunners()
{
    FleetWorld world;
    for (const char *name : {"banos-1", "banos-2", "banos-3"})
        world.addNode(name, "banos");
    for (const char *name : {"r-1", "r-2", "r-3", "r-4", "r-5"})
        world.addRunner(name, "banos");
    world.readLists();
    world.run(seconds(6));
    return world;
}

UpstreamState stateAt(FleetWorld &world, const std::string &node, const std::string &upstream)
{
    const UpstreamView *view = world.exchange(node).upstreams().find(UpstreamId(upstream));
    REQUIRE(view != nullptr);
    return view->m_state;
}

std::size_t candidatesAt(FleetWorld &world, const std::string &node)
{
    return world.exchange(node).upstreams().candidates(service, banos).size();
}

std::vector<ListedUpstream> without(std::vector<ListedUpstream> list, const std::string &upstream)
{
    std::erase_if(list, [&](const ListedUpstream &item) {
        return item.m_declaration.m_upstream == UpstreamId(upstream);
    });
    return list;
}

UpstreamTable smallTable(RemoteScope scope)
{
    UpstreamTableSettingsBuilder builder;
    builder.self(NodeId("banos-1"), banos).remoteScope(scope);
    return UpstreamTable(builder.build());
}

UpstreamDeclaration staticUpstream()
{
    UpstreamDeclaration declaration;
    declaration.m_upstream = UpstreamId("ropero-app-1");
    declaration.m_service = service;
    declaration.m_dataCentre = banos;
    return declaration;
}

const TimePoint start = TimePoint() + seconds(1000);
constexpr WallMillis wall = 1000000;

} // namespace

TEST_CASE("Two owners probe an upstream, and all nodes know its load")
{
    FleetWorld world = worldWithRunners();
    for (const char *name : {"banos-1", "banos-2", "banos-3"}) {
        const UpstreamTable &table = world.exchange(name).upstreams();
        CHECK(table.ownersOf(UpstreamId("r-1")).size() == 2);
        CHECK(table.find(UpstreamId("r-1"))->m_load.m_slots == 8);
        CHECK(stateAt(world, name, "r-1") == UpstreamState::Live);
        CHECK(table.find(UpstreamId("r-1"))->loadAge(world.now()) < seconds(7));
    }

    SECTION("the owners sum up what all nodes have there")
    {
        for (const char *name : {"banos-1", "banos-2", "banos-3"})
            world.exchange(name).setInFlight(UpstreamId("r-1"), 2);
        world.run(seconds(8));
        for (const char *name : {"banos-1", "banos-2", "banos-3"})
            CHECK(world.exchange(name).upstreams().find(UpstreamId("r-1"))->m_totalInFlight == 6);
    }

    SECTION("one that stops answering is suspect everywhere, and live again when it answers")
    {
        world.m_runners.at(UpstreamId("r-1")).m_isUp = false;
        world.run(seconds(4));
        for (const char *name : {"banos-1", "banos-2", "banos-3"})
            CHECK(stateAt(world, name, "r-1") == UpstreamState::Suspect);
        world.m_runners.at(UpstreamId("r-1")).m_isUp = true;
        world.run(seconds(6));
        for (const char *name : {"banos-1", "banos-2", "banos-3"})
            CHECK(stateAt(world, name, "r-1") == UpstreamState::Live);
    }

    SECTION("when an owner dies another node takes over")
    {
        const NodeId owner = world.exchange("banos-1").upstreams().ownersOf(UpstreamId("r-1"))[0];
        world.pause(world.m_nodes.at(owner));
        world.run(seconds(6));
        for (auto &[name, node] : world.m_nodes) {
            if (name == owner)
                continue;
            const UpstreamView *view = node.m_exchange->upstreams().find(UpstreamId("r-1"));
            CHECK(view->m_state == UpstreamState::Live);
            CHECK(view->loadAge(world.now()) < seconds(7));
        }
    }
}

// Failure guarded against: a zone's reclaim leaves only seconds. One node reads the notice; a
// request that arrives at another one a second later must not be sent to the VM that is leaving,
// although the list still shows it as live and the engine still answers.
TEST_CASE("A notice that one node reads stops new work on all within a second")
{
    FleetWorld world = worldWithRunners();
    const auto notice = reclaimNotice(VmId("r-2"), banos, world.wall() + 30000, 7);
    world.notice(world.node("banos-3"), notice);
    CHECK(candidatesAt(world, "banos-3") == 4);
    world.run(seconds(1));
    for (const char *name : {"banos-1", "banos-2", "banos-3"})
        CHECK(candidatesAt(world, name) == 4);

    SECTION("and a list that lags does not undo it")
    {
        world.readLists();
        world.run(seconds(20));
        CHECK(stateAt(world, "banos-1", "r-2") == UpstreamState::Leaving);
        // The same holds if its engine restarts on the VM that is leaving.
        world.m_runners.at(UpstreamId("r-2")).m_incarnation = 2;
        world.run(seconds(5));
        CHECK(stateAt(world, "banos-1", "r-2") == UpstreamState::Leaving);
        world.m_runners.at(UpstreamId("r-2")).m_isUp = false;
        world.run(seconds(10));
        CHECK(stateAt(world, "banos-1", "r-2") == UpstreamState::Gone);
    }

    SECTION("copies are not spread again")
    {
        const std::size_t before = world.m_messages;
        world.notice(world.node("banos-3"), notice);
        CHECK(world.m_messages == before);
    }
}

// Failure guarded against: a thousand VMs of a data centre are reclaimed one by one in a single
// answer of the cloud. If each notice were sent separately, a node would send a thousand messages
// to each peer in a second.
TEST_CASE("Notices that came together go to each peer in one message")
{
    FleetWorld world = worldWithRunners();
    std::vector<LeavingNotice> notices;
    for (const char *vm : {"r-1", "r-2", "r-3"})
        notices.push_back(reclaimNotice(VmId(vm), banos, world.wall() + 30000, 1));
    const auto commands = world.exchange("banos-1").onNotices(notices, world.now(), world.wall());
    const auto isMessage = [](const ExchangeCommand &command) {
        return std::holds_alternative<SendToPeer>(command);
    };
    CHECK(std::count_if(commands.begin(), commands.end(), isMessage) == 2);
}

// Failure guarded against: the only message with the notice is lost. The third node would not learn
// of it otherwise, as the list shows the VM as live for half a minute. The digest in the next
// heartbeat shows that it missed one.
TEST_CASE("A lost notice is repaired by heartbeats")
{
    FleetWorld world = worldWithRunners();
    world.cut(NodeId("banos-1"), NodeId("banos-3"));
    world.cut(NodeId("banos-2"), NodeId("banos-3"));
    world.notice(world.node("banos-1"), reclaimNotice({}, banos, world.wall() + 60000, 1));
    world.run(milliseconds(300));
    CHECK(candidatesAt(world, "banos-2") == 0);
    CHECK(candidatesAt(world, "banos-3") == 5);
    world.heal();
    world.run(seconds(1));
    CHECK(candidatesAt(world, "banos-3") == 0);
}

TEST_CASE("A VM that appears right after its zone's notice is held back for a while")
{
    FleetWorld world = worldWithRunners();
    world.notice(world.node("banos-1"), reclaimNotice({}, banos, world.wall() + 10000, 1));
    world.addRunner("r-6", "banos");
    world.run(seconds(1));
    world.readLists();
    world.run(seconds(10));
    CHECK(stateAt(world, "banos-2", "r-6") == UpstreamState::Leaving);
    world.run(seconds(40));
    CHECK(stateAt(world, "banos-2", "r-6") == UpstreamState::Live);
    CHECK(stateAt(world, "banos-2", "r-1") == UpstreamState::Leaving);
}

TEST_CASE("The VM list alone stops new work")
{
    FleetWorld world = worldWithRunners();
    auto list = world.list();

    SECTION("when it says leaving, on all nodes though one read it")
    {
        list.front().m_isLeaving = true;
        world.readList(world.node("banos-1"), list);
        world.run(seconds(1));
        CHECK(candidatesAt(world, "banos-2") == 4);
    }

    SECTION("when it no longer shows the VM twice in a row")
    {
        world.readList(world.node("banos-1"), without(list, "r-1"));
        CHECK(candidatesAt(world, "banos-1") == 5);
        world.readList(world.node("banos-1"), without(list, "r-1"));
        CHECK(candidatesAt(world, "banos-1") == 4);
    }

    // The cloud's interface answers with an empty list for a minute while every engine works; if
    // the list were accepted, every request would be refused.
    SECTION("but not when it comes empty while the VMs answer")
    {
        for (int read = 0; read < 20; ++read) {
            world.readList(world.node("banos-1"), {});
            world.run(seconds(3));
        }
        CHECK(candidatesAt(world, "banos-1") == 5);
    }
}

TEST_CASE("An operator's drain holds for the incarnation")
{
    UpstreamTable table = smallTable(RemoteScope::Never);
    table.setConfiguredUpstreams({staticUpstream()}, start);
    const UpstreamId upstream = staticUpstream().m_upstream;
    table.onLoad(upstream, {5, 4, 0, 0, 0}, start);
    table.drain(upstream, start, wall);
    CHECK(table.find(upstream)->m_state == UpstreamState::Leaving);
    CHECK(table.candidates(service, banos).empty());

    table.onLoad(upstream, {5, 4, 0, 0, 0}, start + seconds(1));
    table.onRequestSucceeded(upstream, start + seconds(1));
    table.tick(start + seconds(60), wall + 60000);
    CHECK(table.find(upstream)->m_state == UpstreamState::Leaving);

    table.onLoad(upstream, {6, 4, 0, 0, 0}, start + seconds(61));
    CHECK(table.find(upstream)->m_state == UpstreamState::Live);
    // A late answer of the old process changes nothing.
    table.onLoad(upstream, {5, 1, 1, 0, 0}, start + seconds(62));
    CHECK(table.find(upstream)->m_load.m_slots == 4);
}

TEST_CASE("Among many nodes requests in flight are told to the owners only")
{
    UpstreamTable table = smallTable(RemoteScope::Never);
    table.setConfiguredUpstreams({staticUpstream()}, start);
    std::vector<NodeId> nodes{NodeId("banos-1"), NodeId("banos-2"), NodeId("banos-3")};
    table.setNodes(nodes);
    table.setInFlight(staticUpstream().m_upstream, 3);
    for (const NodeId &node : nodes)
        CHECK(table.inFlightFor(node, 0).size() == 1);

    for (int number = 4; number < 20; ++number)
        nodes.emplace_back("banos-" + std::to_string(number));
    table.setNodes(nodes);
    table.setInFlight(staticUpstream().m_upstream, 0);
    const std::int64_t told = table.inFlightVersion();
    std::size_t tellers = 0;
    for (const NodeId &node : nodes)
        tellers += table.inFlightFor(node, 0).size();
    CHECK(tellers == 2);

    // With few nodes again, those that received no reports before learn that the requests have
    // ended.
    nodes.resize(3);
    table.setNodes(nodes);
    REQUIRE(table.inFlightFor(nodes[2], told).size() == 1);
    CHECK(table.inFlightFor(nodes[2], told).front().m_count == 0);
}

TEST_CASE("A failed request makes the upstream suspect for this node for a while")
{
    UpstreamTable table = smallTable(RemoteScope::Never);
    table.setConfiguredUpstreams({staticUpstream()}, start);
    const UpstreamId upstream = staticUpstream().m_upstream;
    table.onLoad(upstream, {1, 4, 0, 0, 0}, start);
    table.onRequestFailed(upstream, "connection refused", start + seconds(1));
    CHECK(table.find(upstream)->m_state == UpstreamState::Suspect);
    table.onLoad(upstream, {1, 4, 0, 0, 0}, start + seconds(2));
    CHECK(table.find(upstream)->m_state == UpstreamState::Suspect);
    table.onLoad(upstream, {1, 4, 0, 0, 0}, start + seconds(4));
    CHECK(table.find(upstream)->m_state == UpstreamState::Live);
}

TEST_CASE("Work leaves the data centre only when the setting and the state allow")
{
    const RemoteScope scope =
            GENERATE(RemoteScope::Never, RemoteScope::WhenGone, RemoteScope::WhenFull);
    UpstreamTable table = smallTable(scope);
    table.setConfiguredUpstreams({staticUpstream()}, start);
    const UpstreamId upstream = staticUpstream().m_upstream;
    std::map<DataCentreId, ReceivedSummary> summaries;
    for (const int room : {1, 5, 0}) {
        ReceivedSummary received;
        received.m_receivedAt = start;
        received.m_summary.m_services = {{service, 2, 10, 10 - room, 0}};
        summaries[DataCentreId("other-" + std::to_string(room))] = received;
    }
    const auto route = [&](TimePoint now) {
        return table.routeScope(service, summaries, now);
    };

    table.onLoad(upstream, {1, 4, 3, 0, 0}, start);
    CHECK(std::holds_alternative<RouteOwn>(route(start)));

    table.onLoad(upstream, {1, 4, 4, 0, 0}, start + seconds(1));
    const RouteScope full = route(start + seconds(1));
    CHECK(std::holds_alternative<RouteRemote>(full) == (scope == RemoteScope::WhenFull));

    table.drain(upstream, start + seconds(2), wall);
    const RouteScope gone = route(start + seconds(2));
    if (scope == RemoteScope::Never) {
        CHECK(std::holds_alternative<RouteUnavailable>(gone));
        return;
    }
    REQUIRE(std::holds_alternative<RouteRemote>(gone));
    const auto &order = std::get<RouteRemote>(gone).m_dataCentres;
    CHECK(order == std::vector<DataCentreId>{DataCentreId("other-5"), DataCentreId("other-1")});
    // A summary that is too old is ignored.
    CHECK(std::holds_alternative<RouteUnavailable>(route(start + seconds(60))));
}
