#include <gypsumdale/fleet/config_store.hpp>
#include <gypsumdale/fleet/config_writer.hpp>

#include <catch2/catch.hpp>

#include <chrono> // seconds
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ConfigKey quoteDraft{SettingsKind::Profile, "quote-draft"};
const std::string goodBody = "latency: {first-token: 1s, deadline: 9s}\n"
                             "durability: job\nrepeat: repeatable\n";
const TimePoint start{};
constexpr WallMillis startWall = 1000000;

ConfigStore makeStore(std::vector<NodeId> peers)
{
    return ConfigStoreBuilder()
            .node(NodeId("a-1"), DataCentreId("a"), 7)
            .localPeers(std::move(peers))
            .startedAt(startWall)
            .build();
}

ConfigObject object(ConfigVersion version, const std::string &body = goodBody)
{
    return {quoteDraft, version, body, false};
}

ConfigUpdate answer(const std::string &from, const ConfigChanges &changes, bool isReady)
{
    ConfigUpdate update{{NodeId(from), DataCentreId("a"), 1, {}}, changes, NodeId("a-1"), 7};
    update.m_sender.m_digest.m_completeTo = changes.m_upTo;
    update.m_sender.m_digest.m_ready = isReady;
    return update;
}

template <typename Command>
std::size_t countOf(const ConfigCommands &commands)
{
    std::size_t count = 0;
    for (const auto &command : commands)
        count += std::holds_alternative<Command>(command) ? 1 : 0;
    return count;
}

ConfigVersion versionOf(const ConfigStore &store)
{
    const auto inForce = store.inForce(quoteDraft);
    return inForce ? inForce->m_version : 0;
}

} // namespace

TEST_CASE("names in the platform are read back", "[config-store]")
{
    CHECK(platformName(quoteDraft) == "profile/quote-draft");
    CHECK(configKeyOf("profile/quote-draft") == quoteDraft);
    for (const char *wrong : {"profile", "thing/a", "profile/", "profile/../x", "profile/A"})
        CHECK_FALSE(configKeyOf(wrong).has_value());
    CHECK(std::holds_alternative<Findings>(checkConfigBody({SettingsKind::Fleet, "other"}, "")));
}

TEST_CASE("a node alone in its data centre is ready once it has read the platform",
          "[config-store]")
{
    auto store = makeStore({});
    CHECK(countOf<ReadPlatform>(store.start(start)) == 1);
    CHECK_FALSE(store.isReady());
    const auto commands = store.onPlatformList({0, 5, {object(3)}}, startWall, start);
    CHECK(store.isReady());
    CHECK(countOf<ConfigReady>(commands) == 1);
    CHECK(versionOf(store) == 3);

    SECTION("as the relay it watches on, and takes only what is newer")
    {
        CHECK(countOf<WatchPlatform>(commands) == 1);
        store.onPlatformWatch({5, 9, {object(8)}}, startWall, start);
        CHECK(versionOf(store) == 8);
        store.onUpdate({{NodeId("b-1"), DataCentreId("b"), 1, {}}, {0, 4, {object(3)}}, {}, 0},
                       start);
        CHECK(versionOf(store) == 8);
    }
    SECTION("a refused body leaves the version in force, and is reported")
    {
        const auto bad = store.onPlatformWatch({5, 9, {object(8, "x: y\n")}}, startWall, start);
        CHECK(countOf<BodyRefused>(bad) == 1);
        CHECK(versionOf(store) == 3);
        REQUIRE(store.refused().size() == 1);
        CHECK(store.refused()[0].m_version == 8);
        store.onPlatformWatch({9, 12, {object(11)}}, startWall, start);
        CHECK(versionOf(store) == 11);
        CHECK(store.refused().empty());
    }
    SECTION("an object that a snapshot lacks has ended, and a lagging peer doesn't bring it back")
    {
        CHECK(countOf<PutInForce>(store.onPlatformList({0, 20, {}}, startWall, start)) == 1);
        CHECK(versionOf(store) == 0);
        store.onUpdate({{NodeId("b-1"), DataCentreId("b"), 1, {}}, {0, 5, {object(3)}}, {}, 0},
                       start);
        CHECK(versionOf(store) == 0);
    }
    SECTION("a failed platform is asked again, later each time")
    {
        store.onPlatformFailed(start);
        CHECK(countOf<WatchPlatform>(store.onTimer(start + seconds(1))) == 1);
        store.onPlatformFailed(start + seconds(1));
        store.onPlatformFailed(start + seconds(1));
        store.onPlatformFailed(start + seconds(1));
        CHECK(store.onTimer(start + seconds(2)).empty());
        CHECK(countOf<WatchPlatform>(store.onTimer(start + seconds(4))) == 1);
    }
}

// Failure guarded against: an operator sees a change in force on one entry VM. The VM restarts
// while the platform is unavailable, and its neighbour, which never received the change, answers
// with the older version. Callers of the restarted VM get the old deadline.
TEST_CASE("a version comes into force only when it can't be lost with this node", "[config-store]")
{
    auto store = makeStore({NodeId("a-2")});
    store.start(start);
    store.onPlatformList({0, 5, {object(3)}}, startWall, start);
    CHECK_FALSE(store.isReady());
    CHECK(versionOf(store) == 0);
    CHECK_FALSE(store.notReadyReason().empty());

    SECTION("another node knows it")
    {
        ConfigDigestFrom digest{NodeId("a-2"), DataCentreId("a"), 2, {}};
        digest.m_digest.m_completeTo = 3;
        store.onDigest(digest, start);
        CHECK(store.isReady());
        CHECK(versionOf(store) == 3);
    }
    SECTION("no other node runs")
    {
        store.onPeerGone(NodeId("a-2"), start - seconds(1));
        CHECK_FALSE(store.isReady());
        // Not a proof at the instant of learning: the peer may have started another incarnation and
        // received data from this node just before.
        store.onPeerGone(NodeId("a-2"), start);
        CHECK_FALSE(store.isReady());
        store.onPeerGone(NodeId("a-2"), start + milliseconds(1));
        CHECK(store.isReady());
    }
    SECTION("what a former life of the other node said is no proof")
    {
        ConfigDigestFrom digest{NodeId("a-2"), DataCentreId("a"), 2, {}};
        store.onDigest(digest, start);
        digest.m_incarnation = 1;
        digest.m_digest.m_completeTo = 3;
        store.onDigest(digest, start);
        CHECK_FALSE(store.isReady());
    }
    SECTION("nor is it once its restart has been heard of")
    {
        auto fresh = makeStore({NodeId("a-2")});
        fresh.start(start);
        ConfigDigestFrom digest{NodeId("a-2"), DataCentreId("a"), 1, {}};
        digest.m_digest.m_completeTo = 5;
        fresh.onDigest(digest, start);
        fresh.onDigest({NodeId("a-2"), DataCentreId("a"), 2, {}}, start);
        fresh.onPlatformList({0, 5, {object(3)}}, startWall, start);
        CHECK_FALSE(fresh.isReady());
    }
}

TEST_CASE("with the platform out, all nodes of the data centre must answer", "[config-store]")
{
    auto store = makeStore({NodeId("a-2"), NodeId("a-3")});
    CHECK(countOf<QueryPeer>(store.start(start)) == 2);
    store.onPlatformFailed(start);
    store.onUpdate(answer("a-2", {0, 5, {object(3)}}, true), start);
    CHECK_FALSE(store.isReady());
    CHECK(store.notReadyReason().find("a-3") != std::string::npos);

    SECTION("a node that isn't ready itself doesn't count")
    {
        store.onUpdate(answer("a-3", {0, 5, {object(3)}}, false), start);
        CHECK_FALSE(store.isReady());
    }
    SECTION("an answer to a former life doesn't count")
    {
        auto late = answer("a-3", {0, 5, {object(3)}}, true);
        late.m_answerToIncarnation = 6;
        store.onUpdate(late, start);
        CHECK_FALSE(store.isReady());
    }
    SECTION("the best answer is taken, and it must reach the floor")
    {
        auto low = answer("a-3", {0, 4, {object(2)}}, true);
        low.m_sender.m_digest.m_floor = 9;
        store.onUpdate(low, start);
        CHECK_FALSE(store.isReady());
        store.onUpdate(answer("a-2", {5, 9, {object(9)}}, true), start);
        CHECK(store.isReady());
        CHECK(versionOf(store) == 9);
    }
    // Found by the fuzz test: the former incarnation had version 4 in force; one peer still has
    // version 1, the other knows version 7, which is refused. Version 1 was put in force.
    SECTION("an old version under a refused one is not put in force")
    {
        store.onUpdate(answer("a-3", {0, 8, {object(7, "nonsense")}}, true), start);
        CHECK(store.isReady());
        CHECK(versionOf(store) == 0);
    }
    SECTION("a confirmation counts once it is later than the start by more than the margin")
    {
        auto confirmed = answer("a-2", {0, 5, {object(3)}}, false);
        confirmed.m_sender.m_digest.m_confirmedAsOf = startWall + 2000;
        store.onUpdate(confirmed, start);
        CHECK_FALSE(store.isReady());
        confirmed.m_sender.m_digest.m_confirmedAsOf = startWall + 2001;
        store.onUpdate(confirmed, start);
        CHECK(store.isReady());
    }
}

// Failure guarded against: the relay is alive, but its path to the platform is interrupted. Without
// a second reader a change would not be put in force in its data centre until the relay is
// replaced.
TEST_CASE("a relay that brings no news is passed over", "[config-store]")
{
    std::vector<NodeId> live;
    for (int i = 1; i < 10; ++i)
        live.emplace_back("a-" + std::to_string(i));
    auto store = makeStore({NodeId("a-2")});
    store.start(start);
    store.onPlatformList({0, 5, {}}, startWall, start);
    // While alone the node started a watch; that one ends before the other nodes are known.
    store.onPlatformWatch({5, 6, {}}, startWall, start);
    store.onPlatformFailed(start);
    store.onLiveNodes(live, start);
    REQUIRE_FALSE(store.isRelay());
    CHECK(store.onTimer(start + seconds(4)).empty());
    CHECK(countOf<ReadPlatform>(store.onTimer(start + seconds(41))) == 1);
}

TEST_CASE("an operator's write is settled, never repeated blindly", "[config-writer]")
{
    ConfigWriter writer({quoteDraft, 4, goodBody, false, "id-1"});
    const auto step = writer.start();
    const auto &put = std::get<PutObject>(step);
    CHECK(put.m_ifVersion == 4);
    CHECK(writeIdOf(put.m_body) == "id-1");
    CHECK(withWriteId(put.m_body, "id-2") == goodBody + "# write: id-2\n");
    CHECK_FALSE(writeIdOf(goodBody).has_value());
    const Error lost{ErrorId::PlatformAnswerLost, "lost"};

    SECTION("it is accepted, or refused before it is sent")
    {
        CHECK(std::get<EditAccepted>(writer.onWritten(9)).m_version == 9);
        ConfigWriter wrong({quoteDraft, 4, "x: y", false, "id-1"});
        CHECK(std::holds_alternative<EditRefused>(wrong.start()));
    }
    SECTION("another's change came first: both are reported")
    {
        CHECK(std::holds_alternative<ReadObject>(writer.onConflict()));
        const auto conflict = std::get<EditConflict>(writer.onRead(object(6)));
        CHECK(conflict.m_current->m_version == 6);
        CHECK(conflict.m_body == put.m_body);
    }
    SECTION("the answer was lost, and the read shows the write")
    {
        CHECK(std::holds_alternative<ReadObject>(writer.onAnswerLost(lost)));
        CHECK(std::get<EditAccepted>(writer.onRead(object(9, put.m_body))).m_version == 9);
    }
    SECTION("the answer was lost before the write arrived; the second one meets it")
    {
        writer.onAnswerLost(lost);
        CHECK(std::holds_alternative<PutObject>(writer.onRead(object(4))));
        CHECK(std::holds_alternative<ReadObject>(writer.onConflict()));
        CHECK(std::holds_alternative<EditAccepted>(writer.onRead(object(9, put.m_body))));
    }
    SECTION("the answer was lost and another's change hides the outcome")
    {
        writer.onAnswerLost(lost);
        CHECK(std::get<EditUnknown>(writer.onRead(object(9))).m_current->m_version == 9);
    }
    SECTION("no answer at all ends as unknown")
    {
        auto last = writer.onAnswerLost(lost);
        for (int i = 0; i < 20 && std::holds_alternative<ReadObject>(last); ++i)
            last = writer.onReadFailed(lost);
        CHECK(std::holds_alternative<EditUnknown>(last));
    }
}
