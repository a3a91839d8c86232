#include "fleet_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm> // any_of, count_if

using namespace gypsumdale;
using namespace gypsumdale::test;

namespace {

NodeState stateAt(FleetWorld &world, const std::string &observer, const std::string &subject)
{
    const NodeView *view = world.exchange(observer).membership().find(NodeId(subject));
    REQUIRE(view != nullptr);
    return view->m_state;
}

bool isLeavingAt(FleetWorld &world, const std::string &observer, const std::string &subject)
{
    const NodeView *view = world.exchange(observer).membership().find(NodeId(subject));
    REQUIRE(view != nullptr);
    return view->m_isLeaving;
}

bool everHeldDead(FleetWorld &world, const std::string &observer)
{
    const auto &changes = world.node(observer).m_nodeChanges;
    return std::any_of(changes.begin(), changes.end(),
                       [](const auto &change) { return change.m_state == NodeState::Dead; });
}

FleetWorld threeNodes()
{
    FleetWorld world;
    for (const char *name : {"banos-1", "banos-2", "banos-3"})
        world.addNode(name, "banos");
    return world;
}

} // namespace

TEST_CASE("Nodes of a data centre find and hear each other")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    CHECK(stateAt(world, "banos-1", "banos-3") == NodeState::Alive);
    CHECK(stateAt(world, "banos-3", "banos-1") == NodeState::Alive);
    CHECK(world.exchange("banos-2").membership().dutyNodes().size() == 3);

    SECTION("one that is no seed is learned from a peer's list")
    {
        // banos-4 knows all the others; banos-1 to 3 were started before it and do not name it.
        world.addNode("banos-4", "banos");
        world.cut(NodeId("banos-4"), NodeId("banos-1"));
        world.run(seconds(3));
        CHECK(world.exchange("banos-1").membership().find(NodeId("banos-4")) != nullptr);
        world.heal();
        world.run(seconds(3));
        CHECK(stateAt(world, "banos-1", "banos-4") == NodeState::Alive);
    }

    SECTION("an exchange covers both directions")
    {
        const std::size_t before = world.m_messages;
        world.run(seconds(10));
        // Three pairs, at most five exchanges a second, two messages each; never twice that.
        CHECK(world.m_messages - before <= 3 * 5 * 10 * 2 + 6);
    }
}

// A job is taken over by another VM only once its node is dead, so a node that is silent for one
// other node alone must not count as dead. Here the link between two nodes fails permanently while
// both still reach the third; then the node really dies.
TEST_CASE("Silence makes a suspect, and only a second witness makes it dead")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    world.cut(NodeId("banos-1"), NodeId("banos-2"));
    world.run(seconds(20));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Suspect);
    CHECK(stateAt(world, "banos-3", "banos-2") == NodeState::Alive);

    world.pause(world.node("banos-2"));
    world.run(seconds(5));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Dead);
    CHECK(stateAt(world, "banos-3", "banos-2") == NodeState::Dead);

    // The node was only paused. It must not simply become alive again: its jobs may have been taken
    // over.
    const Incarnation before = world.node("banos-2").m_identity.m_incarnation;
    world.heal();
    world.resume(world.node("banos-2"));
    world.run(seconds(8));
    CHECK(stateAt(world, "banos-3", "banos-2") == NodeState::Alive);
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
    CHECK(world.node("banos-2").m_identity.m_incarnation > before);
}

// Failure guarded against: the host pauses a VM for half a minute. When it continues, the last
// message from every peer is thirty seconds old. If that counted as silence, it would count the
// whole data centre as dead and take over its jobs.
TEST_CASE("A pause of the observer makes nobody dead")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    world.pause(world.node("banos-1"));
    world.run(seconds(30));
    world.resume(world.node("banos-1"));
    world.run(seconds(5));
    CHECK_FALSE(everHeldDead(world, "banos-1"));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
    CHECK(stateAt(world, "banos-2", "banos-1") == NodeState::Alive);
}

// A node that receives nothing from any other is more likely cut off itself than the last one
// alive: nobody can confirm the silence, so it counts no node as dead.
TEST_CASE("A node that hears nobody holds nobody for dead")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    world.cut(NodeId("banos-1"), NodeId("banos-2"));
    world.cut(NodeId("banos-1"), NodeId("banos-3"));
    world.run(seconds(30));
    CHECK_FALSE(everHeldDead(world, "banos-1"));
    CHECK(stateAt(world, "banos-2", "banos-1") == NodeState::Dead);
}

TEST_CASE("The VM list settles what silence alone does not")
{
    FleetWorld world;
    world.addNode("banos-1", "banos");
    world.addNode("banos-2", "banos");
    world.run(seconds(2));
    auto &exchange = world.exchange("banos-1");
    const ListedNode listed{world.node("banos-2").m_identity, false};
    exchange.onVmList({listed}, {}, world.now(), world.wall());
    exchange.onVmList({}, {}, world.now(), world.wall());
    world.run(seconds(3));
    // Its heartbeats arrive, so the list is wrong or late.
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
    world.pause(world.node("banos-2"));
    world.run(seconds(3));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Dead);
}

TEST_CASE("A draining node says so and loses its duties")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    world.exchange("banos-2").setDraining();
    world.run(seconds(1));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
    CHECK(isLeavingAt(world, "banos-1", "banos-2"));
    CHECK(world.exchange("banos-1").membership().dutyNodes().size() == 2);

    SECTION("and comes back as a new incarnation")
    {
        world.start(world.node("banos-2"));
        world.run(seconds(2));
        CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
        CHECK_FALSE(isLeavingAt(world, "banos-1", "banos-2"));
    }
}

// Failure guarded against: a VM is replaced under the same name and its clock is an hour behind.
// Its incarnation is lower than the last one, and all its heartbeats would be ignored as old for
// that hour.
TEST_CASE("A node whose clock was set back raises its incarnation")
{
    FleetWorld world = threeNodes();
    world.run(seconds(2));
    auto &node = world.node("banos-2");
    NodeIdentity identity = node.m_identity;
    identity.m_incarnation -= 3600000;
    UpstreamTableSettingsBuilder table;
    table.self(identity.m_node, identity.m_dataCentre);
    MembershipSettingsBuilder membership;
    membership.self(identity).seed(world.node("banos-1").m_identity);
    node.m_exchange =
            std::make_unique<PeerExchange>(membership.build(), table.build(), world.now());
    world.run(seconds(5));
    CHECK(stateAt(world, "banos-1", "banos-2") == NodeState::Alive);
}

TEST_CASE("Data centres know each other by summaries")
{
    FleetWorld world;
    for (const char *name : {"banos-1", "banos-2", "banos-3"})
        world.addNode(name, "banos");
    for (const char *name : {"centro-1", "centro-2", "centro-3"})
        world.addNode(name, "el-centro");
    world.addRunner("r-1", "el-centro");
    world.readLists();
    world.run(seconds(10));
    const DataCentreId other("el-centro");
    for (const char *name : {"banos-1", "banos-2", "banos-3"}) {
        const Membership &membership = world.exchange(name).membership();
        REQUIRE(membership.summaries().contains(other));
        const auto &summary = membership.summaries().at(other).m_summary;
        REQUIRE(summary.m_services.size() == 1);
        CHECK(summary.m_services.front().m_slots == 8);
        CHECK(membership.availableNodes(other).size() == 3);
    }

    SECTION("and stay in touch when the chosen nodes die")
    {
        // Whichever nodes exchange the summaries, one pair can still communicate.
        for (const char *name : {"centro-1", "centro-2", "banos-1", "banos-2"})
            world.pause(world.node(name));
        world.run(seconds(40));
        const auto &held = world.exchange("banos-3").membership().summaries().at(other);
        CHECK(world.now() - held.m_receivedAt < seconds(20));
    }

    SECTION("and a cut between them makes suspects, not dead")
    {
        for (const auto &[left, one] : world.m_nodes) {
            for (const auto &[right, two] : world.m_nodes) {
                if (one.m_identity.m_dataCentre != two.m_identity.m_dataCentre)
                    world.cut(left, right);
            }
        }
        world.run(seconds(300));
        CHECK(stateAt(world, "banos-1", "centro-1") == NodeState::Suspect);
        world.heal();
        world.run(seconds(15));
        CHECK(stateAt(world, "banos-1", "centro-1") == NodeState::Alive);
        CHECK(world.exchange("banos-1").membership().availableNodes(other).size() == 3);
    }
}

// Failure guarded against: two nodes of a data centre send their summaries in the same millisecond
// at every step; only the second one's contains the list of nodes. Its list was dropped with the
// summary each time, and a restarted node stayed suspect in the other data centre.
TEST_CASE("A list of nodes is taken from a summary that is no news itself")
{
    const TimePoint now = TimePoint() + seconds(100);
    NodeIdentity self;
    self.m_node = NodeId("centro-1");
    self.m_dataCentre = DataCentreId("el-centro");
    Membership membership(MembershipSettingsBuilder().self(self).build(), now);
    MembershipMessage message;
    message.m_from = self;
    message.m_from.m_node = NodeId("banos-1");
    message.m_from.m_dataCentre = DataCentreId("banos");
    message.m_from.m_incarnation = 1;
    message.m_sequence = 1;
    message.m_summaries.push_back({message.m_from.m_dataCentre, {}, 500, 7, std::nullopt, {}});
    membership.onHeartbeat(message, now);
    message.m_from.m_node = NodeId("banos-2");
    message.m_summaries.front().m_nodes.emplace().push_back(message.m_from);
    membership.onHeartbeat(message, now);
    const auto &held = membership.summaries().at(DataCentreId("banos"));
    REQUIRE(held.m_summary.m_nodes);
    CHECK(held.m_summary.m_nodes->size() == 1);
}

// Failure guarded against: a node that represents its data centre restarts, and the other data
// centre learns its new incarnation from a neighbour's summary first. The new process numbers its
// heartbeats from 1 again; compared with the number of the old process they were all dropped, and
// the data centre stayed suspect.
TEST_CASE("A restarted node is heard although a summary told of it first")
{
    const TimePoint now = TimePoint() + seconds(100);
    NodeIdentity centro;
    centro.m_node = NodeId("centro-1");
    centro.m_dataCentre = DataCentreId("el-centro");
    NodeIdentity neighbour = centro;
    neighbour.m_node = NodeId("banos-2");
    neighbour.m_dataCentre = DataCentreId("banos");
    neighbour.m_incarnation = 1;
    Membership observer(MembershipSettingsBuilder().self(centro).build(), now);
    Membership second(MembershipSettingsBuilder().self(neighbour).build(), now);

    MembershipMessage restarting;
    restarting.m_from = neighbour;
    restarting.m_from.m_node = NodeId("banos-1");
    restarting.m_sequence = 300;
    REQUIRE(observer.onHeartbeat(restarting, now).m_isFresh);

    restarting.m_from.m_incarnation = 2;
    restarting.m_sequence = 1;
    REQUIRE(second.onHeartbeat(restarting, now).m_isFresh);
    MembershipMessage question;
    question.m_from = centro;
    question.m_sequence = 1;
    REQUIRE(second.onHeartbeat(question, now).m_isFresh);
    observer.onReply(second.replyTo(question, now, 500), now);
    REQUIRE(observer.find(NodeId("banos-1"))->m_identity.m_incarnation == 2);

    restarting.m_sequence = 2;
    CHECK(observer.onHeartbeat(restarting, now).m_isFresh);
}

TEST_CASE("Heartbeats grow rarer as the data centre grows, and keep to their budget")
{
    MembershipSettingsBuilder builder;
    NodeIdentity self;
    self.m_node = NodeId("n-0");
    self.m_dataCentre = DataCentreId("olten-a");
    builder.self(self).bytesPerSecond(12000);
    for (int number = 1; number < 44; ++number) {
        NodeIdentity seed = self;
        seed.m_node = NodeId("n-" + std::to_string(number));
        builder.seed(seed);
    }
    const TimePoint start = TimePoint() + seconds(100);
    Membership membership(builder.build(), start);
    for (int count = 0; count < 500; ++count)
        membership.recordHeartbeatBytes(200);
    membership.tick(start + milliseconds(50), 0);
    // 43 peers, 200 bytes each way: 17200 bytes a round, so a round takes 1433 ms.
    CHECK(toMillis(membership.heartbeatInterval()) == Approx(1433).epsilon(0.01));
}

// Tokens of a member that were counted before the peer of its entry VM restarted must reach the new
// process too: if the old acknowledgement were accepted, the member would seem unserved there and
// get too much.
TEST_CASE("A restarted node is told everything again")
{
    FleetWorld world = threeNodes();
    const MemberId member("Schrauben-Kontor");
    world.exchange("banos-1").setOwnTokens(member, 500);
    world.run(seconds(2));
    auto &second = world.node("banos-2");
    REQUIRE_FALSE(second.m_tokens.empty());
    CHECK(second.m_tokens.back().m_tokens == 500);
    // Once acknowledged it is not sent again.
    second.m_tokens.clear();
    world.run(seconds(5));
    CHECK(second.m_tokens.empty());

    world.start(second);
    world.run(seconds(2));
    REQUIRE_FALSE(second.m_tokens.empty());
    CHECK(second.m_tokens.front().m_tokens == 500);
}

TEST_CASE("Frames that are no messages are refused")
{
    CHECK_FALSE(succeeded(wire::decodeRequest("")));
    CHECK_FALSE(succeeded(wire::decodeRequest("not a frame")));
    wire::PeerRequest request;
    CHECK_FALSE(succeeded(wire::decodeRequest(wire::encodeRequest(request))));
    request.body.__set_noticesAsk({});
    CHECK(succeeded(wire::decodeRequest(wire::encodeRequest(request))));
    request.protocol = 2;
    CHECK_FALSE(succeeded(wire::decodeRequest(wire::encodeRequest(request))));

    request.sender = "banos-1";
    request.sentAtMillis = 1000;
    request.proof = wire::makeProof("credential", request);
    CHECK(wire::isProofValid("credential", request, 1500, 1000));
    CHECK_FALSE(wire::isProofValid("other", request, 1500, 1000));
    CHECK_FALSE(wire::isProofValid("credential", request, 2500, 1000));
    request.sender = "banos-2";
    CHECK_FALSE(wire::isProofValid("credential", request, 1500, 1000));
}
