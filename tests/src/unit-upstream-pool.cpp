#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>

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
        pool.forgetPeer("peer");
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
        // A runner crashes without a word: connections to it hang until they time out, and each
        // request that is sent there loses its time. Two failures in a row are enough.
        UpstreamPool::note(a1, AttemptVerdict::Broken, start);
        UpstreamPool::note(a1, AttemptVerdict::Broken, start);
        a2.m_own.m_running = 1;
        CHECK(chosen(pool, requestFrom("a")) == "a2");
        CHECK(chosen(pool, requestFrom("a"), start + 1s) == "a1");
    }
    SECTION("doesn't avoid a plain service for the failures of its own that are usual")
    {
        for (int round = 0; round < 70; ++round) {
            const bool fails = round % 7 == 0;
            UpstreamPool::note(a1, fails ? AttemptVerdict::ServerError : AttemptVerdict::Good,
                               start);
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
