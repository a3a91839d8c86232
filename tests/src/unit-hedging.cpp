#include <gypsumdale/serving/hedging.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds

using namespace gypsumdale;
using std::chrono::milliseconds;

namespace {

HedgeView allowed()
{
    HedgeView view;
    view.m_isRepeatable = true;
    view.m_outstandingRuns = 1;
    view.m_maxAttempts = 2;
    view.m_timeLeft = milliseconds(500);
    view.m_minTimeLeft = milliseconds(10);
    return view;
}

/// Returns a pool of two upstreams of one service.
UpstreamPool twoUpstreams()
{
    std::map<UpstreamId, UpstreamRecord> records;
    for (const char *id : {"u-1", "u-2"}) {
        UpstreamRecord record;
        record.m_id = UpstreamId(id);
        record.m_service = ServiceId("llm");
        record.m_slots = 8;
        records[record.m_id] = record;
    }
    UpstreamPool pool;
    pool.update(records);
    return pool;
}

} // namespace

TEST_CASE("a second run is sent only where the request allows it")
{
    HedgeView view = allowed();
    CHECK(decideHedge(view) == HedgeVerdict::Sent);
    SECTION("not where it may run once")
    {
        view.m_isRepeatable = false;
        CHECK(decideHedge(view) == HedgeVerdict::NotAllowed);
    }
    SECTION("runs that have not ended count as attempts")
    {
        view.m_outstandingRuns = 2;
        CHECK(decideHedge(view) == HedgeVerdict::NotAllowed);
        view.m_outstandingRuns = 1;
        view.m_possibleRuns = 1;
        CHECK(decideHedge(view) == HedgeVerdict::NotAllowed);
    }
    SECTION("not after too many failed connections")
    {
        view.m_hasFailedToConnect = true;
        CHECK(decideHedge(view) == HedgeVerdict::NotAllowed);
    }
    SECTION("not without time for an answer")
    {
        view.m_timeLeft = milliseconds(5);
        CHECK(decideHedge(view) == HedgeVerdict::NoTime);
    }
    SECTION("not where its runs may crash their upstreams")
    {
        view.m_isSuspected = true;
        CHECK(decideHedge(view) == HedgeVerdict::Suspected);
        CHECK_FALSE(isFinal(HedgeVerdict::Suspected));
    }
}

TEST_CASE("a second run waits for the first answer longer than within a stream")
{
    SilentRun run{false, false, milliseconds(600)};
    CHECK(hedgeDelay(run) == milliseconds(1800));
    run.m_hasHeader = true;
    CHECK(hedgeDelay(run) == milliseconds(1800));
    run.m_hasDelivered = true;
    CHECK(hedgeDelay(run) == milliseconds(1200));
}

// Guards against second runs at upstreams that fell silent a moment after the first one.
TEST_CASE("an upstream that was heard shortly before the others fell silent is as silent as they")
{
    UpstreamPool pool = twoUpstreams();
    const ServiceId service("llm");
    const TimePoint start{};
    PooledUpstream &busy = *pool.upstreams().at(UpstreamId("u-1"));
    busy.awaitAnswerFrom(start);
    busy.m_own.m_running = 1;
    busy.m_lastHeardAt = start + milliseconds(20);

    const TimePoint later = start + milliseconds(1200);
    const Duration limit = quietLimit(milliseconds(1200));
    CHECK(pool.silentUpstreams(service, limit, later) == std::set<UpstreamId>{UpstreamId("u-1")});
    // Of one without requests of this VM nothing is known.
    CHECK(pool.upstreams().at(UpstreamId("u-2"))->silence(later) == Duration::zero());
    busy.m_lastHeardAt = later - milliseconds(100);
    CHECK(pool.silentUpstreams(service, limit, later).empty());
}

// Guards against an idle upstream whose last answer counts as the beginning of a silence.
TEST_CASE("the silence of an upstream begins with the first request in flight there")
{
    UpstreamPool pool = twoUpstreams();
    PooledUpstream &upstream = *pool.upstreams().at(UpstreamId("u-1"));
    const TimePoint sentAt = TimePoint{} + milliseconds(9000);
    upstream.awaitAnswerFrom(sentAt);
    upstream.m_own.m_running = 1;
    CHECK(upstream.silence(sentAt + milliseconds(50)) == milliseconds(50));
    upstream.awaitAnswerFrom(sentAt + milliseconds(40));
    CHECK(upstream.silence(sentAt + milliseconds(50)) == milliseconds(50));
}
