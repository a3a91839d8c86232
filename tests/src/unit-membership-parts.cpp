#include <gypsumdale/fleet/active_time_clock.hpp>
#include <gypsumdale/fleet/heartbeat_pacing.hpp>
#include <gypsumdale/fleet/node_state_tracker.hpp>
#include <gypsumdale/fleet/summary_table.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start = TimePoint() + seconds(1000);
const DataCentreId banos("banos");
const DataCentreId cuenca("cuenca");

NodeIdentity nodeOf(const std::string &name, Incarnation incarnation)
{
    NodeIdentity identity;
    identity.m_node = NodeId(name);
    identity.m_dataCentre = banos;
    identity.m_incarnation = incarnation;
    return identity;
}

MembershipMessage heartbeat(Incarnation incarnation, std::int64_t sequence)
{
    MembershipMessage message;
    message.m_from = nodeOf("banos-2", incarnation);
    message.m_sequence = sequence;
    return message;
}

DataCentreSummary summaryOf(WallMillis madeAt, bool hasNodes)
{
    DataCentreSummary summary;
    summary.m_dataCentre = cuenca;
    summary.m_madeAt = madeAt;
    if (hasNodes)
        summary.m_nodes = {nodeOf("cuenca-1", 1)};
    return summary;
}

} // namespace

TEST_CASE("A pause counts for no more than the longest gap that is listening")
{
    ActiveTimeClock clock(milliseconds(250), start);
    clock.tick(start + milliseconds(100));
    CHECK(clock.activeTime() == milliseconds(100));
    clock.tick(start + seconds(60));
    CHECK(clock.activeTime() == milliseconds(350));
}

TEST_CASE("One node of each pair starts their exchanges")
{
    const NodeId self("banos-1");
    bool isStarter = false;
    bool isSecond = false;
    for (int node = 2; node < 20; ++node) {
        const NodeId other("banos-" + std::to_string(node));
        CHECK(heartbeatRole(self, other) != heartbeatRole(other, self));
        isStarter = isStarter || heartbeatRole(self, other) == HeartbeatRole::Initiator;
        isSecond = isSecond || heartbeatRole(self, other) == HeartbeatRole::Responder;
    }
    CHECK(isStarter);
    CHECK(isSecond);
}

TEST_CASE("Heartbeats keep to their budget, and dead nodes are tried rarely")
{
    MembershipSettings settings;
    settings.m_bytesPerSecond = 3000;
    HeartbeatPacing pace(settings);
    pace.setPeers(1);
    CHECK(pace.interval() == settings.m_heartbeatInterval);
    pace.setPeers(10);
    CHECK(pace.interval() == seconds(1));
    CHECK(pace.dueAfter(HeartbeatRole::Initiator, NodeState::Alive) == seconds(1));
    CHECK(pace.dueAfter(HeartbeatRole::Responder, NodeState::Alive) == milliseconds(1500));
    CHECK(pace.dueAfter(HeartbeatRole::Responder, NodeState::Dead) == seconds(10));
    pace.setPeers(1000);
    CHECK(pace.interval() == settings.m_longestInterval);
}

TEST_CASE("Dead holds for an incarnation")
{
    MembershipCommands commands;
    NodeStateTracker watch(nodeOf("banos-2", 7), {}, start);
    CHECK(watch.identity().m_incarnation == 0);
    CHECK(watch.recordHeartbeat(heartbeat(7, 1), {}, start, commands)
          == HeartbeatFreshness::FromNewProcess);
    CHECK(watch.isAlive());
    CHECK(watch.recordHeartbeat(heartbeat(7, 1), {}, start, commands) == HeartbeatFreshness::None);
    CHECK(watch.recordHeartbeat(heartbeat(7, 2), {}, start, commands) == HeartbeatFreshness::Fresh);

    watch.detectSilence(seconds(1), seconds(1), start, commands);
    CHECK(watch.state() == NodeState::Suspect);
    watch.confirmDead(NodeId("banos-3"), seconds(3), start, commands);
    CHECK(watch.isDead());
    CHECK(watch.recordHeartbeat(heartbeat(7, 3), seconds(3), start, commands)
          == HeartbeatFreshness::None);
    CHECK(watch.recordHeartbeat(heartbeat(6, 9), seconds(3), start, commands)
          == HeartbeatFreshness::None);
    CHECK_FALSE(watch.recordSummaryEntry(nodeOf("banos-2", 7), seconds(3), start, commands));
    CHECK(watch.isDead());
    CHECK(watch.recordHeartbeat(heartbeat(8, 1), seconds(3), start, commands)
          == HeartbeatFreshness::FromNewProcess);
    CHECK(watch.isAlive());
    CHECK(commands.size() == 4);
}

TEST_CASE("A notice before the first heartbeat concerns the process that then appears")
{
    MembershipCommands commands;
    NodeStateTracker watch(nodeOf("banos-2", 0), {}, start);
    watch.leave("reclaimed", start, commands);
    watch.recordHeartbeat(heartbeat(7, 1), {}, start, commands);
    CHECK(watch.isAlive());
    CHECK(watch.isLeaving());
    watch.recordHeartbeat(heartbeat(8, 1), {}, start, commands);
    CHECK(watch.isAlive());
    CHECK_FALSE(watch.isLeaving());
}

TEST_CASE("A silent node is dead only once the list that showed it no longer does")
{
    MembershipCommands commands;
    NodeStateTracker watch(nodeOf("banos-2", 0), {}, start);
    watch.recordHeartbeat(heartbeat(7, 1), {}, start, commands);
    watch.setListed(false);
    watch.detectRemoteSilence(seconds(10), seconds(10), start, commands);
    CHECK(watch.state() == NodeState::Suspect);
    watch.setListed(true);
    watch.setListed(false);
    watch.detectRemoteSilence(seconds(10), seconds(10), start, commands);
    CHECK(watch.isDead());
}

TEST_CASE("A book of summaries takes what is newer and spreads what came directly")
{
    SummaryTable book(seconds(10));
    CHECK(book.take(summaryOf(100, true), SummarySource::DescribedDataCentre, start));
    CHECK_FALSE(book.take(summaryOf(100, false), SummarySource::DescribedDataCentre, start));
    CHECK(book.isReachable(cuenca, start + seconds(9)));
    CHECK_FALSE(book.isReachable(cuenca, start + seconds(10)));

    SentSummaries told;
    const auto news = book.unsentFor(told);
    REQUIRE(news.size() == 1);
    CHECK(news.front().m_nodes);
    CHECK(book.unsentFor(told).empty());

    SECTION("without the list of nodes where that is not new")
    {
        CHECK(book.take(summaryOf(200, false), SummarySource::DescribedDataCentre, start));
        const auto later = book.unsentFor(told);
        REQUIRE(later.size() == 1);
        CHECK_FALSE(later.front().m_nodes);
    }

    SECTION("not what another node of the own data centre told")
    {
        CHECK(book.take(summaryOf(200, false), SummarySource::OwnDataCentre, start));
        CHECK(book.unsentFor(told).empty());
    }

    SECTION("a sender whose clock ran ahead shuts nobody out for long")
    {
        CHECK_FALSE(book.take(summaryOf(50, false), SummarySource::DescribedDataCentre,
                              start + seconds(10)));
        CHECK(book.take(summaryOf(50, false), SummarySource::DescribedDataCentre,
                        start + seconds(10) + milliseconds(1)));
    }
}

TEST_CASE("The list of nodes goes to another data centre that has another, and now and then")
{
    SummarySender link;
    CHECK(link.startIfDue(seconds(2), start));
    CHECK_FALSE(link.startIfDue(seconds(2), start + seconds(1)));
    CHECK(link.startIfDue(seconds(2), start + seconds(2)));

    CHECK(link.includesNodeList(42, 3));
    CHECK(link.includesNodeList(42, 3));
    link.setRemoteNodesDigest(42);
    CHECK_FALSE(link.includesNodeList(42, 3));
    CHECK_FALSE(link.includesNodeList(42, 3));
    CHECK(link.includesNodeList(42, 3));
    CHECK(link.includesNodeList(43, 3));
}
