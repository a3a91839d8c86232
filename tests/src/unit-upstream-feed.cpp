#include <gypsumdale/serving/follower_state.hpp>
#include <gypsumdale/serving/upstream_feed.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

UpstreamRecord recordOf(const std::string &id, bool isDraining = false)
{
    UpstreamRecord record;
    record.m_id = UpstreamId(id);
    record.m_service = ServiceId("llm");
    record.m_isDraining = isDraining;
    return record;
}

UpstreamList listOf(std::int64_t revision, std::vector<UpstreamRecord> records)
{
    UpstreamList list;
    list.m_revision = revision;
    for (UpstreamRecord &record : records)
        list.m_upstreams.emplace(record.m_id, record);
    return list;
}

bool has(const UpstreamFeed &feed, const std::string &id)
{
    return feed.upstreams().contains(UpstreamId(id));
}

} // namespace

TEST_CASE("the list of upstreams")
{
    UpstreamFeed feed;
    REQUIRE(feed.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));

    SECTION("follows changes")
    {
        feed.apply({{recordOf("c"), UpstreamChangeKind::Present},
                    {recordOf("a"), UpstreamChangeKind::Removed}},
                   12, start);
        CHECK_FALSE(has(feed, "a"));
        CHECK(has(feed, "c"));
        CHECK(feed.revision() == 12);
    }
    SECTION("is never replaced by an older one")
    {
        // A peer that is behind forwards its list. If applied, it would restore an upstream that
        // has left, and requests would go to whoever has its address by now.
        CHECK_FALSE(feed.replaceAll(listOf(9, {recordOf("gone")}), start));
        CHECK_FALSE(has(feed, "gone"));
    }
    SECTION("keeps entries that lapsed while the store was away until they had time to come back")
    {
        // The store is unavailable for five seconds; no upstream can write its heartbeat, and all
        // entries expire. When it returns the list is empty for a moment: every request would be
        // refused although all upstreams are alive.
        feed.onStoreUnavailable();
        REQUIRE(feed.replaceAll(listOf(20, {}), start + 6s));
        CHECK(has(feed, "a"));
        feed.apply({{recordOf("a"), UpstreamChangeKind::Present}}, 21, start + 7s);
        CHECK_FALSE(feed.expire(start + 7900ms));
        CHECK(feed.expire(start + 8s));
        CHECK(has(feed, "a"));
        CHECK_FALSE(has(feed, "b"));
    }
    SECTION("drops an upstream that was draining, outage or not")
    {
        feed.apply({{recordOf("a", true), UpstreamChangeKind::Present}}, 11, start);
        feed.onStoreUnavailable();
        feed.replaceAll(listOf(20, {recordOf("b")}), start + 3s);
        CHECK_FALSE(has(feed, "a"));
    }
    SECTION("drops a removed entry at once where there was no outage")
    {
        feed.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 11, start + 30s);
        CHECK_FALSE(has(feed, "a"));
    }
    SECTION("drops an entry removed long after the store's return")
    {
        feed.onStoreUnavailable();
        feed.apply({}, 11, start + 2s);
        feed.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 12, start + 5s);
        CHECK_FALSE(has(feed, "a"));
    }
}

TEST_CASE("news of a reader")
{
    UpstreamFeed feed;
    REQUIRE(feed.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
    UpstreamListUpdate news;
    news.m_revision = 14;
    news.m_sinceRevision = 9;
    news.m_changes = {{recordOf("a", true), UpstreamChangeKind::Present},
                      {recordOf("b"), UpstreamChangeKind::Removed}};

    SECTION("brings changes and their age")
    {
        CHECK(feed.take(news, start + 2s, start + 2s) == UpstreamFeed::ApplyResult::Taken);
        CHECK(feed.upstreams().at(UpstreamId("a")).m_isDraining);
        CHECK_FALSE(has(feed, "b"));
        CHECK(feed.revision() == 14);
        CHECK(feed.confirmedAt() == start + 2s);
    }
    SECTION("is no use to a list that lacks what came before it")
    {
        news.m_sinceRevision = 11;
        CHECK(feed.take(news, start, start) == UpstreamFeed::ApplyResult::ChangesMissing);
        CHECK(has(feed, "b"));
    }
    SECTION("is passed over when the list is newer")
    {
        // A follower has read the store itself; an older update of a reader must not revert that.
        news.m_revision = 9;
        news.m_sinceRevision = 8;
        CHECK(feed.take(news, start + 2s, start + 2s) == UpstreamFeed::ApplyResult::Older);
        CHECK(has(feed, "b"));
        CHECK(feed.confirmedAt() == start);
    }
    SECTION("of the revision that is held confirm it and are no news to pass on")
    {
        news.m_revision = 10;
        news.m_sinceRevision = GENERATE(std::optional<std::int64_t>(9), std::nullopt);
        const std::int64_t newest = feed.history().newest();
        CHECK(feed.take(news, start + 2s, start + 2s) == UpstreamFeed::ApplyResult::Taken);
        CHECK(feed.history().newest() == newest);
        CHECK(feed.confirmedAt() == start + 2s);
    }
    SECTION("may be the whole list")
    {
        news.m_sinceRevision.reset();
        news.m_changes = {{recordOf("c"), UpstreamChangeKind::Present}};
        CHECK(feed.take(news, start, start) == UpstreamFeed::ApplyResult::Taken);
        CHECK(feed.upstreams().size() == 1);
    }
}

TEST_CASE("a follower is told what came and went between two readings")
{
    // An engine joins and is lost within half a second. The follower read the store in between, the
    // reader only before and after. Without a removal in the reader's delta, the follower would
    // permanently send requests to an address that nobody serves.
    UpstreamFeed reader;
    REQUIRE(reader.replaceAll(listOf(10, {recordOf("a")}), start));
    UpstreamFeed follower;
    FollowerState state;
    const UpstreamListUpdate first = state.updateFor(reader, start);
    REQUIRE(follower.take(first, start, start) == UpstreamFeed::ApplyResult::Taken);
    state.onApplied(first);

    follower.apply({{recordOf("b"), UpstreamChangeKind::Present}}, 11, start);
    SECTION("as changes")
    {
        reader.apply({{recordOf("b"), UpstreamChangeKind::Present},
                      {recordOf("b"), UpstreamChangeKind::Removed}},
                     12, start);
    }
    SECTION("or in a list read anew")
    {
        reader.replaceAll(listOf(12, {recordOf("a")}), start);
    }
    CHECK(follower.take(state.updateFor(reader, start), start, start)
          == UpstreamFeed::ApplyResult::Taken);
    CHECK_FALSE(has(follower, "b"));
    CHECK(has(follower, "a"));
}

TEST_CASE("a follower keeps what lapsed around an outage no longer than its reader does")
{
    // The store was unavailable; an engine's entry expires and is retained for two seconds. The
    // reader sends it as present and ends. The follower kept the entry permanently, and continued
    // to send requests to an engine that was gone.
    UpstreamFeed reader;
    REQUIRE(reader.replaceAll(listOf(10, {recordOf("a")}), start));
    reader.onStoreUnavailable();
    reader.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 11, start + 5s);
    REQUIRE(has(reader, "a"));
    UpstreamFeed follower;
    FollowerState state;

    SECTION("told whole")
    {
        REQUIRE(follower.replaceAll(listOf(10, {recordOf("a")}), start));
        follower.take(state.updateFor(reader, start + 6s), start + 6s, start + 6s);
    }
    SECTION("told the change")
    {
        REQUIRE(follower.replaceAll(listOf(10, {recordOf("a")}), start));
        UpstreamListUpdate before;
        before.m_revision = 10;
        state.onApplied(before);
        follower.take(state.updateFor(reader, start + 6s), start + 6s, start + 6s);
    }
    CHECK(has(follower, "a"));
    CHECK(follower.expire(start + 8s));
    CHECK_FALSE(has(follower, "a"));
}

// The store compacts its history and closes the watches, which takes a second; it serves all the
// time, and every upstream writes. An upstream that leaves without a notice is removed meanwhile.
// Mistaken for one that expired in an outage, it was retained for two seconds, and received
// requests 3.1 s after its removal, where 3 s are permitted.
TEST_CASE("an entry that is removed while a reading fails is not kept")
{
    UpstreamFeed feed;
    REQUIRE(feed.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
    feed.onStoreUnavailable();

    SECTION("read anew")
    {
        feed.replaceAll(listOf(12, {recordOf("b")}), start + 1200ms);
    }
    SECTION("as a change after the reading that failed")
    {
        feed.apply({}, 11, start + 600ms);
        feed.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 12, start + 1200ms);
    }
    SECTION("and a follower that is told doesn't keep it")
    {
        UpstreamFeed follower;
        FollowerState state;
        REQUIRE(follower.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
        feed.replaceAll(listOf(12, {recordOf("b")}), start + 1200ms);
        follower.take(state.updateFor(feed, start + 1300ms), start + 1200ms, start + 1300ms);
        CHECK_FALSE(has(follower, "a"));
    }
    CHECK_FALSE(has(feed, "a"));
    CHECK(has(feed, "b"));
}

// The store refuses one reader for five seconds and serves all others. When it serves the reader
// again, its followers, which received updates of the other reader all the time, mistook its return
// for the store's and retained for two seconds what was removed after it.
TEST_CASE("a follower that was told all the while keeps nothing for a reader's return")
{
    UpstreamFeed reader;
    FollowerState state;
    REQUIRE(reader.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
    UpstreamFeed follower;
    REQUIRE(follower.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
    follower.apply({}, 11, start + 4500ms);
    reader.onStoreUnavailable();
    reader.apply({}, 11, start + 5s);
    follower.take(state.updateFor(reader, start + 5s), start + 5s, start + 5s);
    follower.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 12, start + 5500ms);
    CHECK_FALSE(has(follower, "a"));
}

// The store refuses a VM, and a peer sends it its list, including an engine that vanished around
// the outage and is retained. The VM couldn't tell, and used the engine until it read the full
// list: 3.4 s after the entry had gone it still placed a request there.
TEST_CASE("a list for another VM leaves out what is only kept for its return")
{
    UpstreamFeed peer;
    REQUIRE(peer.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start));
    peer.onStoreUnavailable();
    REQUIRE(peer.replaceAll(listOf(12, {recordOf("b")}), start + 5s));
    REQUIRE(has(peer, "a"));
    CHECK_FALSE(peer.present().contains(UpstreamId("a")));
    CHECK(peer.present().contains(UpstreamId("b")));
}

TEST_CASE("an entry that came back stays")
{
    // The history was compacted during an outage, so that the full list is read. An entry that had
    // expired and is in the list again was nevertheless removed when its retention expired.
    UpstreamFeed feed;
    REQUIRE(feed.replaceAll(listOf(10, {recordOf("a")}), start));
    feed.onStoreUnavailable();
    feed.apply({{recordOf("a"), UpstreamChangeKind::Removed}}, 11, start + 5s);
    REQUIRE(feed.replaceAll(listOf(12, {recordOf("a")}), start + 6s));
    feed.expire(start + 9s);
    CHECK(has(feed, "a"));
}

namespace {

UpstreamRecord startedAt(const std::string &id, std::int64_t start)
{
    UpstreamRecord record = recordOf(id);
    record.m_startedAt = start;
    return record;
}

std::int64_t startOf(const UpstreamFeed &feed, const std::string &id)
{
    return feed.upstreams().at(UpstreamId(id)).m_startedAt;
}

} // namespace

// An engine crashes and restarts under its id. A VM that is behind forwards the engine's earlier
// entry. If applied, requests would be placed by the former process's state, and a leaving notice
// for that process would take the new one out of use.
TEST_CASE("an entry of an earlier start never replaces that of a later one")
{
    UpstreamFeed feed;
    feed.replaceAll(listOf(10, {startedAt("a", 500), recordOf("b")}), start);

    SECTION("told as a change")
    {
        UpstreamRecord old = startedAt("a", 400);
        old.m_isDraining = true;
        feed.apply({{old, UpstreamChangeKind::Present}}, 11, start);
        CHECK(startOf(feed, "a") == 500);
        CHECK_FALSE(feed.upstreams().at(UpstreamId("a")).m_isDraining);
    }
    SECTION("told with the whole list")
    {
        feed.replaceAll(listOf(11, {startedAt("a", 400)}), start);
        CHECK(startOf(feed, "a") == 500);
    }
    SECTION("and a later one does")
    {
        UpstreamRecord draining = startedAt("a", 500);
        draining.m_isDraining = true;
        feed.apply({{draining, UpstreamChangeKind::Present}}, 11, start);
        feed.apply({{startedAt("a", 600), UpstreamChangeKind::Present}}, 12, start);
        CHECK(startOf(feed, "a") == 600);
        CHECK_FALSE(feed.upstreams().at(UpstreamId("a")).m_isDraining);
    }
    SECTION("nor does one that doesn't tell its start, which is another writer's")
    {
        feed.apply({{recordOf("a"), UpstreamChangeKind::Present}}, 11, start);
        CHECK_FALSE(has(feed, "a"));
        CHECK(has(feed, "b"));
        CHECK(feed.unusable().contains(UpstreamId("a")));
        feed.apply({{startedAt("a", 500), UpstreamChangeKind::Present}}, 12, start);
        CHECK(has(feed, "a"));
        CHECK(feed.unusable().empty());
    }
}

// Another writer overwrites an engine's entry. Requests continued to the address of the former
// entry, although nobody knew whether it still belonged to the engine.
TEST_CASE("an entry that can't be read takes its upstream out of use")
{
    UpstreamFeed feed;
    feed.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start);
    UpstreamList spoiled = listOf(11, {recordOf("b")});
    spoiled.m_unusable = {UpstreamId("a")};

    SECTION("told as a change")
    {
        feed.apply({{recordOf("a"), UpstreamChangeKind::Unusable}}, 11, start);
        CHECK_FALSE(has(feed, "a"));
        CHECK(has(feed, "b"));
    }
    SECTION("also just after an outage, when vanished entries are kept")
    {
        feed.onStoreUnavailable();
        feed.replaceAll(spoiled, start + 5s);
        CHECK_FALSE(has(feed, "a"));
    }
    SECTION("also at a follower of a reader")
    {
        UpstreamFeed follower;
        FollowerState state;
        state.onMissingChanges();
        follower.replaceAll(listOf(10, {recordOf("a"), recordOf("b")}), start);
        feed.onStoreUnavailable();
        feed.replaceAll(spoiled, start + 5s);
        follower.take(state.updateFor(feed, start + 5s), start + 5s, start + 5s);
        CHECK_FALSE(has(follower, "a"));
        CHECK(has(follower, "b"));
    }
}
