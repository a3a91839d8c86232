#include <gypsumdale/serving/connection_share.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <map> // map
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId service("app");

ConnectionVerdict verdictOf(const ConnectionView &view)
{
    return decideConnection(view).m_verdict;
}

/// A plain upstream of the second customer, as one of its 77 VMs sees it.
ConnectionView plainView(int own, std::vector<int> peers)
{
    ConnectionView view;
    view.m_limit = 490;
    view.m_slots = 6;
    view.m_vms = 77;
    view.m_own = own;
    view.m_ownMinimum = own;
    view.m_peers = std::move(peers);
    view.m_ownAtAll = 42;
    view.m_upstreams = 7;
    return view;
}

UpstreamRecord recordOf(const std::string &id)
{
    UpstreamRecord record;
    record.m_id = UpstreamId(id);
    record.m_service = service;
    record.m_dataCentre = DataCentreId("a");
    record.m_slots = 6;
    return record;
}

/// A VM's pool with plain upstreams that accept two connections for each of 77 VMs.
struct LimitedPool : UpstreamPool
{
    explicit LimitedPool(int upstreams)
    {
        std::map<UpstreamId, UpstreamRecord> records;
        for (int number = 0; number < upstreams; ++number) {
            const UpstreamRecord record = recordOf("u" + std::to_string(number));
            records.emplace(record.m_id, record);
        }
        update(records);
        setFleetSize(77);
        setConnectionLimits({{service, 170}});
    }

    PooledUpstream &at(int number) const
    {
        return *upstreams().at(UpstreamId("u" + std::to_string(number)));
    }
    void setOwn(int running) const
    {
        for (const auto &[id, upstream] : upstreams())
            upstream->m_own.m_running = running;
    }
    std::string chosen(TimePoint now = start) const
    {
        const PooledUpstreamPointer upstream = choose(request(), now);
        return upstream ? upstream->m_record.m_id.text() : std::string();
    }
    std::optional<ConnectionDecision> shortage() const
    {
        return connectionShortage(request(), start);
    }
    static PlacementRequest request()
    {
        PlacementRequest request;
        request.m_service = service;
        request.m_dataCentre = DataCentreId("a");
        return request;
    }
};

} // namespace

TEST_CASE("a VM may always use its even share of an upstream's connections")
{
    const std::vector<int> full(76, 7);
    CHECK(connectionShare(490, 77) == 6);
    CHECK(verdictOf(plainView(5, full)) == ConnectionVerdict::WithinShare);
    CHECK(verdictOf(plainView(6, full)) == ConnectionVerdict::ShareUsed);
    CHECK(decideConnection(plainView(6, full)).m_reported == 532);
}

// Guards against VMs that can place nothing at all because there are more of them than connections.
TEST_CASE("the share is never zero")
{
    CHECK(connectionShare(100, 480) == 1);
    CHECK(connectionShare(1, 3) == 1);
    CHECK(connectionShare(1, 0) == 1);
}

TEST_CASE("without a limit, or with one that is too high to matter, nothing is refused")
{
    ConnectionView view = plainView(1000, std::vector<int>(76, 1000));
    view.m_limit = 0;
    CHECK(verdictOf(view) == ConnectionVerdict::NoLimit);
    view.m_limit = -5;
    CHECK(verdictOf(view) == ConnectionVerdict::NoLimit);
    view.m_limit = 2'000'000'000;
    CHECK(verdictOf(view) == ConnectionVerdict::WithinShare);
}

// 480 VMs before an upstream that accepts 570 connections have one each. A VM with two requests for
// the engine that holds their shared prompt would have to send one elsewhere, although the engine
// has twelve slots, and nearly all of them are free.
TEST_CASE("an idle upstream takes more than a VM's share")
{
    ConnectionView view;
    view.m_limit = 570;
    view.m_slots = 12;
    view.m_vms = 480;
    view.m_own = 1;
    view.m_peers = {1, 2};
    view.m_ownAtAll = 3;
    view.m_upstreams = 72;
    CHECK(verdictOf(view) == ConnectionVerdict::UpstreamIdle);
    view.m_peers = std::vector<int>(23, 1);
    CHECK(verdictOf(view) == ConnectionVerdict::ShareUsed);
    SECTION("but not for a VM whose load is high everywhere, as that of all VMs may be")
    {
        view.m_peers = {1, 2};
        view.m_ownAtAll = 36;
        CHECK(verdictOf(view) == ConnectionVerdict::ShareUsed);
    }
}

TEST_CASE("connections that no share includes are used if they are free by the reports")
{
    CHECK(verdictOf(plainView(6, {})) == ConnectionVerdict::FreeByReports);
    // Each VM may have grown as this one did, so nothing is free.
    ConnectionView grown = plainView(6, {});
    grown.m_ownMinimum = 3;
    CHECK(verdictOf(grown) == ConnectionVerdict::ShareUsed);
}

TEST_CASE("a request waits for a connection only if it is expected in time")
{
    ConnectionWaitView view{4, 50, 150ms};
    CHECK(decideConnectionWait(view).m_verdict == ConnectionWaitVerdict::Wait);
    CHECK(decideConnectionWait(view).m_expected == 100ms);
    view.m_ahead = 10;
    CHECK(decideConnectionWait(view).m_verdict == ConnectionWaitVerdict::TooMany);
    CHECK(decideConnectionWait(view).m_expected == 220ms);
    CHECK(decideConnectionWait({0, 0, 150ms}).m_verdict == ConnectionWaitVerdict::Wait);
    CHECK(decideConnectionWait({1, 0, 150ms}).m_verdict == ConnectionWaitVerdict::TooMany);
    CHECK(decideConnectionWait({0, 50, 0ms}).m_verdict == ConnectionWaitVerdict::NoTime);
}

TEST_CASE("an upstream without a free connection is not selected")
{
    const LimitedPool pool(2);
    pool.setOwn(2);
    CHECK(pool.chosen().empty());
    REQUIRE(pool.shortage());
    CHECK(pool.shortage()->m_verdict == ConnectionVerdict::ShareUsed);
    pool.at(1).m_own.m_running = 1;
    CHECK(pool.chosen() == "u1");
    CHECK_FALSE(pool.shortage());

    SECTION("but another one that keeps failing isn't selected in its place")
    {
        UpstreamPool::note(pool.at(1), AttemptResult::Broken, start);
        UpstreamPool::note(pool.at(1), AttemptResult::Broken, start);
        CHECK(pool.chosen().empty());
        CHECK(pool.shortage());
        CHECK(pool.chosen(start + 10s) == "u1");
    }
}

TEST_CASE("a service without upstreams is not short of connections")
{
    const LimitedPool pool(0);
    CHECK_FALSE(pool.shortage());
}

// Guards against growth that is missed because the requests ended between two placements.
TEST_CASE("requests that ended between two placements count as not reported")
{
    LimitedPool pool(1);
    pool.setConnectionLimits({{service, 250}});
    pool.setOwn(3);
    CHECK(pool.chosen().empty());
    CHECK(pool.chosen(start + 1600ms) == "u0");
    pool.at(0).m_ownLowest = 0;
    CHECK(pool.chosen(start + 1700ms).empty());
}
