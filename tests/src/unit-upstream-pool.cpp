#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>

#include <cstdint> // uint64_t
#include <map> // map
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

UpstreamRecord recordOf(const std::string &id, const std::string &dataCentre)
{
    UpstreamRecord record;
    record.m_id = UpstreamId(id);
    record.m_service = ServiceId("llm");
    record.m_dataCentre = DataCentreId(dataCentre);
    return record;
}

std::map<UpstreamId, UpstreamRecord> upstreamsOf(std::vector<UpstreamRecord> records)
{
    std::map<UpstreamId, UpstreamRecord> upstreams;
    for (UpstreamRecord &record : records)
        upstreams.emplace(record.m_id, record);
    return upstreams;
}

PlacementRequest requestFrom(const std::string &dataCentre)
{
    PlacementRequest request;
    request.m_service = ServiceId("llm");
    request.m_dataCentre = DataCentreId(dataCentre);
    request.m_promptTokens = 2000;
    return request;
}

std::string chosen(const UpstreamPool &pool, const PlacementRequest &request, TimePoint now = start)
{
    const PooledUpstreamPointer upstream = pool.choose(request, now);
    return upstream ? upstream->m_record.m_id.text() : std::string();
}

} // namespace

// Guards against requests to upstreams that left while only this VM had lost contact with the
// store.
TEST_CASE("upstreams that are kept for their return are placed by while half of them are missing")
{
    const auto kept = [](const std::string &id) {
        UpstreamRecord record = recordOf(id, "a");
        record.m_isRetained = true;
        return record;
    };
    UpstreamPool pool;
    PlacementRequest request = requestFrom("a");

    SECTION("not where most are there, however busy")
    {
        pool.update(upstreamsOf({recordOf("a1", "a"), recordOf("a2", "a"), kept("a3")}));
        pool.upstreams().at(UpstreamId("a1"))->m_own.m_running = 9;
        pool.upstreams().at(UpstreamId("a2"))->m_own.m_running = 9;
        CHECK(chosen(pool, request) != "a3");
        CHECK(pool.minPendingTokens(request, start) == 0);
    }
    SECTION("where half of them have gone")
    {
        pool.update(upstreamsOf({recordOf("a1", "a"), kept("a2")}));
        pool.upstreams().at(UpstreamId("a1"))->m_own.m_running = 9;
        CHECK(chosen(pool, request) == "a2");
    }
    SECTION("by service")
    {
        UpstreamRecord other = recordOf("b1", "a");
        other.m_service = ServiceId("shop");
        pool.update(upstreamsOf({kept("a1"), other}));
        CHECK(chosen(pool, request) == "a1");
    }
}

TEST_CASE("the choice of an upstream")
{
    UpstreamPool pool;
    pool.update(upstreamsOf({recordOf("a1", "a"), recordOf("a2", "a"), recordOf("b1", "b")}));
    auto &a1 = *pool.upstreams().at(UpstreamId("a1"));
    auto &a2 = *pool.upstreams().at(UpstreamId("a2"));

    SECTION("takes the least loaded of the own data centre")
    {
        a1.m_own.m_running = 3;
        CHECK(chosen(pool, requestFrom("a")) == "a2");
        CHECK(chosen(pool, requestFrom("b")) == "b1");
    }
    SECTION("counts what other VMs have in flight")
    {
        pool.setPeerLoad("peer", {{UpstreamId("a2"), {9, 30000}}}, start);
        CHECK(pool.reportAge(start + 1s) == 1s);
        CHECK(chosen(pool, requestFrom("a")) == "a1");
        pool.removePeer("peer");
        a1.m_own.m_running = 1;
        CHECK(chosen(pool, requestFrom("a")) == "a2");
    }
    SECTION("leaves the own data centre when its upstreams are busy")
    {
        a1.m_own.m_pendingTokens = 60000;
        a2.m_own.m_pendingTokens = 60000;
        CHECK(chosen(pool, requestFrom("a")) == "b1");
    }
    SECTION("passes over who drains or was tried")
    {
        UpstreamRecord draining = recordOf("a1", "a");
        draining.m_isDraining = true;
        pool.update(upstreamsOf({draining, recordOf("a2", "a")}));
        PlacementRequest request = requestFrom("a");
        CHECK(chosen(pool, request) == "a2");
        request.m_excluded = {UpstreamId("a2")};
        CHECK(chosen(pool, request).empty());
    }
    SECTION("sends requests with one shared part to one upstream, from every data centre")
    {
        PlacementRequest request = requestFrom("a");
        request.m_affinityKey = "5c1e07a2";
        request.m_sharedTokens = 5000;
        const std::string home = chosen(pool, request);
        request.m_dataCentre = DataCentreId("b");
        CHECK(chosen(pool, request) == home);
        pool.upstreams().at(UpstreamId(home))->m_own.m_pendingTokens = 100000;
        CHECK(chosen(pool, request) != home);
    }
    SECTION("avoids an upstream that went silent, and comes back to it")
    {
        // A runner crashes without a notice: connections to it hang until they time out, and each
        // request that is sent there loses its time. Two failures in a row suffice.
        UpstreamPool::note(a1, AttemptResult::Broken, start);
        UpstreamPool::note(a1, AttemptResult::Broken, start);
        a2.m_own.m_running = 1;
        CHECK(chosen(pool, requestFrom("a")) == "a2");
        CHECK(chosen(pool, requestFrom("a"), start + 1s) == "a1");
    }
    SECTION("doesn't avoid a plain service for the failures of its own that are usual")
    {
        for (int round = 0; round < 70; ++round) {
            const bool fails = round % 7 == 0;
            UpstreamPool::note(a1, fails ? AttemptResult::ServerError : AttemptResult::Good, start);
        }
        CHECK(a1.m_avoidUntil <= start);
    }
    SECTION("keeps load and health of those that stay")
    {
        a1.m_own.m_running = 2;
        pool.update(upstreamsOf({recordOf("a1", "a")}));
        CHECK(pool.upstreams().at(UpstreamId("a1"))->m_own.m_running == 2);
        CHECK(a2.m_isGone);
    }
}

namespace {

/// Counts the selections of each upstream in a thousand draws.
std::map<std::string, int> drawnTimes(const UpstreamPool &pool, PlacementRequest request)
{
    std::map<std::string, int> times;
    std::uint64_t state = 1;
    for (int round = 0; round < 1000; ++round) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        request.m_draw = state;
        ++times[chosen(pool, request)];
    }
    return times;
}

} // namespace

// In a fleet of 65 VMs a report of a peer's load is up to 1.5 s old. All VMs sent their requests to
// the one upstream that had looked idle; its queue filled while two others had free slots, and
// callers waited or were refused.
TEST_CASE("old reports don't send every VM to one upstream")
{
    UpstreamPool pool;
    pool.update(upstreamsOf({recordOf("a1", "a"), recordOf("b1", "b"), recordOf("c1", "c")}));
    pool.setPeerLoad("peer", {{UpstreamId("b1"), {2, 0}}, {UpstreamId("c1"), {11, 0}}}, start);
    PlacementRequest plain = requestFrom("a");
    plain.m_promptTokens = 0;
    REQUIRE(drawnTimes(pool, plain)["a1"] == 1000);

    pool.setExchangeStretch(2);
    std::map<std::string, int> times = drawnTimes(pool, plain);
    // 1 to 1/4.5 to 1/18 by load and data centre.
    CHECK(times["a1"] == Approx(783).margin(50));
    CHECK(times["b1"] == Approx(174).margin(50));
    CHECK(times["c1"] == Approx(43).margin(25));

    SECTION("nor any to one that is avoided while another is there")
    {
        auto &a1 = *pool.upstreams().at(UpstreamId("a1"));
        UpstreamPool::note(a1, AttemptResult::Broken, start);
        UpstreamPool::note(a1, AttemptResult::Broken, start);
        CHECK(drawnTimes(pool, plain)["a1"] == 0);
        plain.m_excluded = {UpstreamId("b1"), UpstreamId("c1")};
        CHECK(drawnTimes(pool, plain)["a1"] == 1000);
    }
}

TEST_CASE("old reports let engines be compared among a few that are drawn")
{
    UpstreamPool pool;
    std::vector<UpstreamRecord> records;
    for (int number = 0; number < 10; ++number)
        records.push_back(recordOf("a" + std::to_string(number), "a"));
    for (int number = 0; number < 10; ++number)
        records.push_back(recordOf("b" + std::to_string(number), "b"));
    pool.update(upstreamsOf(records));
    pool.setExchangeStretch(6);
    for (const auto &[id, upstream] : pool.upstreams())
        upstream->m_peerTotal.m_running = id.text() == "a3" ? 2 : 8;
    PlacementRequest request = requestFrom("a");
    std::map<std::string, int> times = drawnTimes(pool, request);
    // Two of ten are drawn in the own data centre; the idle one is selected when it is among them.
    CHECK(times["a3"] == Approx(200).margin(50));
    CHECK(times["a4"] < 150);

    SECTION("or among more for a prompt that peers hear of at once")
    {
        request.m_isAnnounced = true;
        CHECK(drawnTimes(pool, request)["a3"] == Approx(800).margin(50));
    }
    SECTION("and keep a shared part at its home")
    {
        request.m_affinityKey = "5c1e07a2";
        request.m_sharedTokens = 5000;
        CHECK(drawnTimes(pool, request).size() == 1);
    }
    SECTION("and outside where the own data centre has none")
    {
        request.m_dataCentre = DataCentreId("c");
        CHECK(drawnTimes(pool, request).size() == 20);
    }
}

// An engine crashes while a request runs there, and restarts under its id. The VM that placed the
// request must not count it as load of the new process, avoid that one for the former one's
// failures, or use a peer's report of load on the former one.
TEST_CASE("an upstream that started again is a new one")
{
    UpstreamPool pool;
    UpstreamRecord first = recordOf("a1", "a");
    first.m_startedAt = 500;
    UpstreamRecord second = first;
    second.m_startedAt = 900;
    pool.update(upstreamsOf({first}));
    const PooledUpstreamPointer before = pool.upstreams().at(UpstreamId("a1"));
    before->m_own.m_running = 3;
    UpstreamPool::note(*before, AttemptResult::Broken, start);
    UpstreamPool::note(*before, AttemptResult::Broken, start);
    pool.setPeerLoad("peer", {{UpstreamId("a1"), {9, 30000, 500}}}, start);
    REQUIRE(before->m_peerTotal.m_running == 9);
    std::int64_t toldStart = 0;
    before->m_onReplaced[&toldStart] = [&toldStart](std::int64_t at) {
        toldStart = at;
    };

    SECTION("of which nothing is known")
    {
        pool.update(upstreamsOf({second}));
        const PooledUpstream &after = *pool.upstreams().at(UpstreamId("a1"));
        CHECK(after.m_own.m_running == 0);
        CHECK(after.m_peerTotal.m_running == 0);
        CHECK(after.m_avoidUntil <= start);
        CHECK(before->m_isReplaced);
        CHECK(toldStart == 900);
        pool.setPeerLoad("peer", {{UpstreamId("a1"), {2, 0, 900}}}, start);
        CHECK(after.m_peerTotal.m_running == 2);
    }
    SECTION("also when its entry was away in between")
    {
        pool.update({});
        pool.update(upstreamsOf({second}));
        CHECK(pool.upstreams().at(UpstreamId("a1")) != before);
        CHECK(before->m_isReplaced);
    }
    SECTION("and the same if its entry was only away for a while")
    {
        pool.update({});
        CHECK(before->m_isGone);
        pool.update(upstreamsOf({first}));
        CHECK(pool.upstreams().at(UpstreamId("a1")) == before);
        CHECK_FALSE(before->m_isGone);
        CHECK(toldStart == 0);
    }
}

TEST_CASE("who holds an upstream is told when it leaves")
{
    // Requests in progress at an upstream continued as if it stayed.
    UpstreamPool pool;
    UpstreamRecord ready = recordOf("a1", "a");
    ready.m_startedAt = 500;
    UpstreamRecord leaving = ready;
    leaving.m_isDraining = true;
    pool.update(upstreamsOf({ready}), 1);
    const PooledUpstreamPointer held = pool.upstreams().at(UpstreamId("a1"));
    int told = 0;
    const auto listen = [&] {
        held->m_onLeaving[&told] = [&told] {
            ++told;
        };
    };
    listen();

    SECTION("once, however often its entry is written")
    {
        pool.update(upstreamsOf({ready}), 2, start);
        CHECK(told == 0);
        pool.update(upstreamsOf({leaving}), 3, start);
        CHECK(told == 1);
        listen();
        pool.update(upstreamsOf({leaving}), 4, start + 1s);
        pool.update({}, 5, start + 2s);
        CHECK(told == 1);
        CHECK(held->m_notLeavingAt == start);
    }
    SECTION("once more when it had come back")
    {
        pool.update(upstreamsOf({leaving}), 2, start);
        pool.update(upstreamsOf({ready}), 3, start + 1s);
        CHECK_FALSE(held->m_notLeavingAt);
        listen();
        pool.update(upstreamsOf({leaving}), 4, start + 2s);
        CHECK(told == 2);
        CHECK(held->m_notLeavingAt == start + 2s);
    }
    SECTION("when its entry is gone, which may have been kept since")
    {
        pool.update({}, 2, start);
        CHECK(told == 1);
        CHECK_FALSE(held->m_notLeavingAt);
    }
    SECTION("when another process has taken its name")
    {
        UpstreamRecord next = ready;
        next.m_startedAt = 900;
        pool.update(upstreamsOf({next}), 2, start);
        CHECK(told == 1);
    }
    SECTION("and nothing is known of a list that was never confirmed")
    {
        pool.update(upstreamsOf({leaving}), 2);
        CHECK(told == 1);
        CHECK_FALSE(held->m_notLeavingAt);
    }
}

namespace {

/// A prompt without shared parts, at engines that read 36,000 tokens within the permitted pause of
/// a stream.
PlacementRequest promptOf(std::int64_t tokens)
{
    PlacementRequest request = requestFrom("a");
    request.m_promptTokens = tokens;
    request.m_maxPauseTokens = 36000;
    return request;
}

} // namespace

// A caller receives an answer from an engine. A prompt of 60,000 tokens is sent to the same engine,
// as it has the fewest requests, and the answer pauses for a second while the prompt is read.
// Another engine has no streams.
TEST_CASE("a long prompt goes where no stream waits for it")
{
    UpstreamPool pool;
    pool.update(upstreamsOf({recordOf("a1", "a"), recordOf("a2", "a")}));
    auto &a1 = *pool.upstreams().at(UpstreamId("a1"));
    auto &a2 = *pool.upstreams().at(UpstreamId("a2"));
    a1.m_own.m_running = 3;
    a2.m_own.m_pendingTokens = 10000;
    CHECK(chosen(pool, promptOf(5000)) == "a1");
    CHECK(chosen(pool, promptOf(60000)) == "a2");

    SECTION("nor where several in a row make the same pause")
    {
        a1.m_own.m_pendingTokens = 34000;
        a2.m_own.m_pendingTokens = 40000;
        a2.m_own.m_running = 1;
        CHECK(chosen(pool, promptOf(9000)) == "a2");
    }
    SECTION("and counts as any other while the speed of engines isn't known")
    {
        PlacementRequest request = promptOf(60000);
        request.m_maxPauseTokens = 0;
        CHECK(chosen(pool, request) == "a1");
    }
}

// Two VMs each receive a long prompt within a quarter of a second, the time between two exchanges.
// Both saw the same engine idle and sent their prompts there, and the second caller waited for
// both.
TEST_CASE("a long prompt that is told at once keeps the next one away")
{
    const auto engines = upstreamsOf({recordOf("a1", "a"), recordOf("a2", "a")});
    UpstreamPool first;
    UpstreamPool second;
    for (UpstreamPool *pool : {&first, &second}) {
        pool->update(engines);
        pool->setPeerLoad("other", {}, start);
    }
    const std::string taken = chosen(first, promptOf(40000));
    REQUIRE(chosen(second, promptOf(40000)) == taken);
    second.setPeerLoadAt("other", UpstreamId(taken), {1, 40000, 0}, start);
    CHECK(chosen(second, promptOf(40000)) != taken);

    SECTION("from a VM that was never heard it is no word")
    {
        second.setPeerLoadAt("stranger", UpstreamId("a1"), {9, 90000, 0}, start);
        second.setPeerLoadAt("stranger", UpstreamId("a2"), {9, 90000, 0}, start);
        CHECK(second.upstreams().at(UpstreamId("a1"))->m_peerTotal.m_running <= 1);
    }
}

// In a fleet of 80 VMs a report of a prompt that waits at an engine is up to 1.8 s old. The engine
// read it within a quarter of a second and was then idle, while all VMs avoided it in favour of
// engines that were busy by then. One in seven requests of the fleet was late while two in three
// engines were idle.
TEST_CASE("what others had to read counts less the longer ago they said so")
{
    UpstreamPool pool;
    pool.update(upstreamsOf({recordOf("a1", "a"), recordOf("a2", "a")}));
    pool.setExchangeStretch(7);
    const PooledUpstream &a1 = *pool.upstreams().at(UpstreamId("a1"));
    pool.setPeerLoad("peer", {{UpstreamId("a1"), {1, 30000, 0}}}, start);
    PlacementRequest request = requestFrom("a");
    request.m_readingSpeed = 60000;

    SECTION("at the speed of engines")
    {
        CHECK(a1.unreadTokens(60000, start) == Approx(30000));
        CHECK(a1.unreadTokens(60000, start + 250ms) == Approx(15000));
        CHECK(a1.unreadTokens(60000, start + 1s) == Approx(0));
    }
    SECTION("one prompt after the other")
    {
        pool.setPeerLoad("second", {{UpstreamId("a1"), {1, 30000, 0}}}, start + 250ms);
        CHECK(a1.unreadTokens(60000, start + 250ms) == Approx(45000));
        CHECK(a1.unreadTokens(60000, start + 500ms) == Approx(30000));
    }
    SECTION("but own prompts are known to be unread")
    {
        pool.upstreams().at(UpstreamId("a1"))->m_own.m_pendingTokens = 5000;
        CHECK(a1.unreadTokens(60000, start + 1s) == Approx(5000));
    }
    SECTION("so that an engine is taken again when it has read them")
    {
        pool.upstreams().at(UpstreamId("a2"))->m_own.m_running = 5;
        CHECK(chosen(pool, request, start) == "a2");
        CHECK(chosen(pool, request, start + 1s) == "a1");
    }
    SECTION("unless its speed isn't known")
    {
        request.m_readingSpeed = 0;
        pool.upstreams().at(UpstreamId("a2"))->m_own.m_running = 5;
        CHECK(chosen(pool, request, start + 1s) == "a2");
    }
}

// Guards against work that goes on at an upstream of another software version.
TEST_CASE("work that goes on is placed at upstreams of its software version only")
{
    const auto running = [](const std::string &id, const std::string &version) {
        UpstreamRecord record = recordOf(id, "a");
        record.m_softwareVersion = SoftwareVersion(version);
        return record;
    };
    UpstreamPool pool;
    pool.update(upstreamsOf({running("i-1", "v1"), running("i-2", "v2"), running("i-3", "")}));
    PlacementRequest request = requestFrom("a");

    SECTION("and nowhere if the version is unknown or gone")
    {
        request.m_softwareVersion = SoftwareVersion("v2");
        CHECK(chosen(pool, request) == "i-2");
        request.m_excluded = {UpstreamId("i-2")};
        CHECK(chosen(pool, request).empty());
        request.m_excluded.clear();
        request.m_softwareVersion = SoftwareVersion("v3");
        CHECK(chosen(pool, request).empty());
        CHECK_FALSE(pool.minPendingTokens(request, start));
        request.m_softwareVersion = SoftwareVersion();
        CHECK(chosen(pool, request).empty());
    }
    SECTION("with old reports too")
    {
        pool.setExchangeStretch(2);
        request.m_softwareVersion = SoftwareVersion("v2");
        for (std::uint64_t draw = 0; draw < 20; ++draw) {
            request.m_draw = draw;
            CHECK(chosen(pool, request) == "i-2");
        }
    }
    SECTION("which doesn't make an upstream usable that is kept for its return")
    {
        UpstreamRecord kept = running("i-2", "v2");
        kept.m_isRetained = true;
        pool.update(upstreamsOf({running("i-1", "v1"), kept, running("i-3", "v1")}));
        request.m_softwareVersion = SoftwareVersion("v2");
        CHECK(chosen(pool, request).empty());
    }
}

// Guards against a version that is taken from the entry of a later process.
TEST_CASE("an upstream whose software version changes is another process")
{
    UpstreamRecord record = recordOf("i-1", "a");
    record.m_softwareVersion = SoftwareVersion("v1");
    UpstreamPool pool;
    pool.update(upstreamsOf({record}));
    const PooledUpstreamPointer first = pool.choose(requestFrom("a"), start);

    SECTION("and those who hold the earlier one know it as replaced")
    {
        record.m_softwareVersion = SoftwareVersion("v2");
        pool.update(upstreamsOf({record}));
        CHECK(first->m_isReplaced);
        CHECK(first->m_record.m_softwareVersion == SoftwareVersion("v1"));
        CHECK(pool.choose(requestFrom("a"), start) != first);
    }
    SECTION("but not where a list names none")
    {
        record.m_softwareVersion = SoftwareVersion();
        pool.update(upstreamsOf({record}));
        CHECK_FALSE(first->m_isReplaced);
        CHECK(first->m_record.m_softwareVersion == SoftwareVersion("v1"));
        CHECK(pool.choose(requestFrom("a"), start) == first);
    }
}
