#include <gypsumdale/serving/reach_check.hpp>
#include <gypsumdale/serving/upstream_reach.hpp>

#include <catch2/catch.hpp>

#include <memory> // make_shared
#include <set> // set
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId llm("llm");
const ServiceId app("app");

bool fails(UpstreamReach &reach, const std::string &upstream, std::size_t known,
           TimePoint now = start, const ServiceId &service = llm)
{
    return reach.recordUnreachable(service, UpstreamId(upstream), known, now)
           && reach.recordCutOff(service);
}

} // namespace

// Guards against a VM that is cut off from a service and doesn't know it.
TEST_CASE("a VM is cut off from a service if several of its upstreams in a row can't be reached")
{
    UpstreamReach reach;

    SECTION("three different ones")
    {
        CHECK_FALSE(fails(reach, "u1", 9));
        CHECK_FALSE(fails(reach, "u2", 9));
        CHECK_FALSE(reach.isCutOff(llm));
        CHECK(fails(reach, "u3", 9));
        CHECK(reach.isCutOff(llm));
        CHECK_FALSE(fails(reach, "u4", 9));
    }
    SECTION("not one that fails again and again")
    {
        for (int time = 0; time < 9; ++time)
            CHECK_FALSE(fails(reach, "u1", 9));
        CHECK_FALSE(reach.isCutOff(llm));
    }
    SECTION("all of them where there are fewer")
    {
        CHECK_FALSE(fails(reach, "u1", 2));
        CHECK(fails(reach, "u2", 2));
    }
    SECTION("not if another one is reached in between")
    {
        fails(reach, "u1", 9);
        fails(reach, "u2", 9);
        CHECK_FALSE(reach.recordConnected(llm));
        CHECK_FALSE(fails(reach, "u3", 9));
        CHECK_FALSE(reach.isCutOff(llm));
    }
    SECTION("not by failures that are long past")
    {
        fails(reach, "u1", 9, start);
        fails(reach, "u2", 9, start + 1s);
        CHECK_FALSE(fails(reach, "u3", 9, start + 2500ms));
        CHECK(fails(reach, "u4", 9, start + 2600ms));
    }
    SECTION("and no longer once one is reached")
    {
        for (const char *upstream : {"u1", "u2", "u3"})
            fails(reach, upstream, 9);
        CHECK(reach.recordConnected(llm));
        CHECK_FALSE(reach.isCutOff(llm));
        CHECK_FALSE(fails(reach, "u4", 9));
    }
}

// Guards against a cut that is found though a request reached an upstream during the check.
TEST_CASE("a service is not cut off if a connection was opened while its upstreams were tried")
{
    UpstreamReach reach;
    for (const char *upstream : {"u1", "u2", "u3"})
        reach.recordUnreachable(llm, UpstreamId(upstream), 9, start);
    reach.recordConnected(llm);
    CHECK_FALSE(reach.recordCutOff(llm));
    CHECK_FALSE(reach.isCutOff(llm));
}

// Guards against a cut that is found though upstreams without a failure were not tried.
TEST_CASE("all upstreams are tried before a service counts as cut off, failed ones last")
{
    std::vector<PooledUpstreamPointer> upstreams;
    for (int number = 0; number < 9; ++number) {
        upstreams.push_back(std::make_shared<PooledUpstream>());
        upstreams.back()->m_record.m_id =
                UpstreamId(std::string(1, static_cast<char>('a' + number)));
    }
    const std::set<UpstreamId> failed = {UpstreamId("b"), UpstreamId("c"), UpstreamId("g")};
    ReachCheck check(
            upstreams, [&failed](const UpstreamId &id) { return failed.contains(id); },
            [] { return 5; });
    std::vector<UpstreamId> tried;
    std::vector<std::size_t> batches;
    for (auto batch = check.nextBatch(); !batch.empty(); batch = check.nextBatch()) {
        batches.push_back(batch.size());
        for (const PooledUpstreamPointer &upstream : batch)
            tried.push_back(upstream->m_record.m_id);
    }
    CHECK(batches == std::vector<std::size_t>{2, 4, 3});
    CHECK(std::set<UpstreamId>(tried.begin(), tried.end()).size() == 9);
    CHECK(std::set<UpstreamId>(tried.end() - 3, tried.end()) == failed);
}

// Guards against relaying requests of a service that is reached, because another one isn't.
TEST_CASE("each service is judged by itself")
{
    UpstreamReach reach;
    for (const char *upstream : {"a1", "a2", "a3"})
        fails(reach, upstream, 3, start, app);
    CHECK(reach.isCutOff(app));
    CHECK_FALSE(reach.isCutOff(llm));
    CHECK_FALSE(reach.recordConnected(llm));
    CHECK(reach.cutOffServices() == std::set<ServiceId>{app});
    CHECK(reach.hasFailed(app, UpstreamId("a1")));
    CHECK_FALSE(reach.hasFailed(app, UpstreamId("a4")));
}
