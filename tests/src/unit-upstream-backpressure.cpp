#include <gypsumdale/serving/return_pacing.hpp>
#include <gypsumdale/serving/upstream_backpressure.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cmath> // abs
#include <map> // map
#include <memory> // unique_ptr
#include <set> // set
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const UpstreamProcess engine{UpstreamId("u-1"), 100};
constexpr TimePoint start{1h};

NodeId nodeId(int vm)
{
    return NodeId(fmt::format("vm-{}", vm));
}

BackpressureSignal limitedTo(double perSecond)
{
    BackpressureSignal signal;
    signal.m_rateLimit = perSecond;
    return signal;
}

/// Returns how many requests a VM may send to the engine within a time, if it always has one.
int sendable(UpstreamBackpressure &backpressure, TimePoint begin, Duration time)
{
    int sent = 0;
    for (TimePoint now = begin; now < begin + time; now += 10ms) {
        if (!backpressure.accepts(engine, now))
            continue;
        backpressure.takePermit(engine, now);
        ++sent;
    }
    return sent;
}

/// VMs that all know each other.
std::vector<std::unique_ptr<UpstreamBackpressure>> fleetOf(int vms)
{
    std::vector<std::unique_ptr<UpstreamBackpressure>> fleet;
    for (int vm = 0; vm < vms; ++vm) {
        fleet.push_back(std::make_unique<UpstreamBackpressure>());
        fleet.back()->setNode(nodeId(vm));
        fleet.back()->setFleetSize(static_cast<std::size_t>(vms), start);
        for (int peer = 0; peer < vms; ++peer) {
            if (peer != vm)
                fleet.back()->addPeer(nodeId(peer), start);
        }
    }
    return fleet;
}

bool isNear(double value, double expected)
{
    return std::abs(value - expected) < 1e-9;
}

} // namespace

TEST_CASE("an upstream that names no limit takes all requests")
{
    UpstreamBackpressure backpressure;
    CHECK_FALSE(backpressure.record(engine, {}, start));
    CHECK(backpressure.isEmpty());
    CHECK(sendable(backpressure, start, 1s) == 100);
}

TEST_CASE("the parts of all VMs add up to an upstream's limit")
{
    const int vms = GENERATE(1, 6, 77, 480);
    const double limit = GENERATE(0.2, 1.0, 1.4, 30.0);
    CAPTURE(vms, limit);
    double sum = 0;
    double bursts = 0;
    for (const auto &vm : fleetOf(vms)) {
        const auto change = vm->record(engine, limitedTo(limit), start);
        REQUIRE(change);
        sum += change->m_share;
        bursts += change->m_share > 0 ? std::max(1.0, change->m_share) : 0;
    }
    CHECK(isNear(sum, limit));
    // Half more than the limit over four seconds, and a few requests.
    CHECK(bursts <= 2 * limit + 5);
}

// Guards against VMs that send their first permitted requests at the same moment.
TEST_CASE("a fleet sends no more than the limit allows from the first moment on")
{
    const int vms = GENERATE(6, 77, 480);
    CAPTURE(vms);
    int sent = 0;
    for (const auto &vm : fleetOf(vms)) {
        vm->record(engine, limitedTo(1), start);
        sent += sendable(*vm, start, 4s);
    }
    CHECK(sent <= 11);
    CHECK(sent >= 1);
}

// Guards against holders whose permits all come at the same moments.
TEST_CASE("the holders of a limit send at different moments")
{
    int together = 0;
    for (int number = 0; number < 100; ++number) {
        const UpstreamProcess process{UpstreamId(fmt::format("u-{}", number)), 1};
        int atOnce = 0;
        for (const auto &vm : fleetOf(20)) {
            vm->record(process, limitedTo(1), start);
            const bool isHolder = vm->shareOf(process) > 0.0;
            atOnce += isHolder && vm->accepts(process, start + 500ms) ? 1 : 0;
        }
        together += atOnce > 2 ? 1 : 0;
    }
    CHECK(together < 10);
}

// Guards against a VM that takes the rate of others that it doesn't know yet.
TEST_CASE("a VM that has just started takes the part of the VMs that it knows")
{
    UpstreamBackpressure backpressure;
    backpressure.setNode(nodeId(0));
    backpressure.setFleetSize(10, start);
    const auto alone = backpressure.record(engine, limitedTo(4), start);
    REQUIRE(alone);
    CHECK(isNear(alone->m_share, 0.4));
    backpressure.addPeer(nodeId(1), start);
    CHECK(isNear(*backpressure.shareOf(engine), 0.4));
}

TEST_CASE("a limit ends with the first answer that names none")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(1), start);
    backpressure.takePermit(engine, start);
    CHECK_FALSE(backpressure.accepts(engine, start));
    const auto change = backpressure.record(engine, {}, start + 1s);
    REQUIRE(change);
    CHECK_FALSE(change->m_limit);
    CHECK(backpressure.accepts(engine, start + 1s));
    CHECK(backpressure.limitedCount() == 0);
}

// Guards against an unreadable value being taken for the end of a limit.
TEST_CASE("an answer with a value that can't be meant changes nothing")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(1), start);
    BackpressureSignal unreadable;
    unreadable.m_invalidValues = 1;
    CHECK_FALSE(backpressure.record(engine, unreadable, start + 1s));
    CHECK(backpressure.limitedCount() == 1);
    BackpressureSignal partlyReadable = limitedTo(2);
    partlyReadable.m_invalidValues = 1;
    CHECK(backpressure.record(engine, partlyReadable, start + 2s));
}

TEST_CASE("of what several VMs heard the last counts")
{
    UpstreamBackpressure backpressure;
    CHECK(backpressure.mergePeer({engine, 2.0, start}, start + 1s));
    CHECK_FALSE(backpressure.mergePeer({engine, std::nullopt, start - 1s}, start + 1s));
    CHECK(backpressure.limitedCount() == 1);
    CHECK(backpressure.mergePeer({engine, std::nullopt, start + 1s}, start + 1s));
    CHECK(backpressure.limitedCount() == 0);
}

// Guards against words that travel in a circle and never get old.
TEST_CASE("a VM tells only what it heard itself")
{
    UpstreamBackpressure backpressure;
    backpressure.mergePeer({engine, 2.0, start}, start + 1s);
    CHECK(backpressure.report({engine}, start + 1s).m_rateLimits.empty());
    backpressure.record(engine, limitedTo(2), start + 2s);
    REQUIRE(backpressure.report({engine}, start + 3s).m_rateLimits.size() == 1);
    CHECK(backpressure.report({engine}, start + 3s).m_rateLimits.front().m_heardAt == start + 2s);
    CHECK(backpressure.report({engine}, start + 1h).m_rateLimits.empty());
}

TEST_CASE("the end of a limit is told for a time")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(1), start);
    backpressure.record(engine, {}, start + 1s);
    REQUIRE(backpressure.report({engine}, start + 10s).m_rateLimits.size() == 1);
    CHECK_FALSE(backpressure.report({engine}, start + 10s).m_rateLimits.front().m_limit);
    backpressure.removeExpired({engine}, start + 2min);
    CHECK(backpressure.isEmpty());
}

TEST_CASE("a limit holds for the process that named it")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(1), start);
    backpressure.takePermit(engine, start);
    CHECK_FALSE(backpressure.accepts(engine, start));
    CHECK(backpressure.accepts({engine.m_id, engine.m_startedAt + 1}, start));
}

// Guards against a limit that is forgotten while the list of upstreams lacks the entry.
TEST_CASE("a limit is remembered while its upstream is missing from the list")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(1), start);
    backpressure.removeExpired({}, start + 20s);
    CHECK(backpressure.limitedCount() == 1);
    backpressure.removeExpired({}, start + 2min);
    CHECK(backpressure.isEmpty());
    backpressure.record(engine, limitedTo(1), start);
    backpressure.removeExpired({engine}, start + 1h);
    CHECK(backpressure.limitedCount() == 1);
}

// Guards against an upstream that is never tried again as its last word was a limit.
TEST_CASE("a limited upstream of which nothing is heard is tried by all VMs together at its rate")
{
    const int vms = 77;
    int sent = 0;
    int holders = 0;
    for (const auto &vm : fleetOf(vms)) {
        const auto change = vm->record(engine, limitedTo(1), start);
        if (change->m_share > 0) {
            ++holders;
            continue;
        }
        CHECK(sendable(*vm, start, 10s) == 0);
        sent += sendable(*vm, start + 15s, 77s);
    }
    CHECK(holders < 6);
    CHECK(sent >= 50);
    CHECK(sent <= vms);
}

// Guards against an upstream that is used again as its entry still says that it is ready.
TEST_CASE("an upstream that said that it leaves is not used again")
{
    UpstreamBackpressure backpressure;
    CHECK(backpressure.recordLeaving(engine, start));
    CHECK_FALSE(backpressure.recordLeaving(engine, start + 1s));
    CHECK(backpressure.isLeaving(engine));
    CHECK_FALSE(backpressure.isLeaving({engine.m_id, engine.m_startedAt + 1}));
    CHECK(backpressure.report({engine}, start).m_leaving == std::vector{engine});
    CHECK(backpressure.report({}, start).m_leaving.empty());
    backpressure.removeExpired({engine}, start + 1h);
    CHECK(backpressure.isLeaving(engine));
    backpressure.removeExpired({}, start + 1h + 1min);
    CHECK(backpressure.isLeaving(engine));
    backpressure.removeExpired({}, start + 2h);
    CHECK(backpressure.isEmpty());
}

TEST_CASE("a limit of zero leaves a rare trial")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(0), start);
    const int sent = sendable(backpressure, start, 100s);
    CHECK(sent >= 9);
    CHECK(sent <= 11);
}

namespace {

/// A pool with upstreams of one service.
UpstreamPool poolOf(int upstreams)
{
    std::map<UpstreamId, UpstreamRecord> records;
    for (int number = 0; number < upstreams; ++number) {
        UpstreamRecord record;
        record.m_id = UpstreamId(fmt::format("u-{}", number));
        record.m_service = ServiceId("app");
        records.emplace(record.m_id, record);
    }
    UpstreamPool pool;
    pool.update(records);
    return pool;
}

PlacementRequest requestToApp()
{
    PlacementRequest request;
    request.m_service = ServiceId("app");
    return request;
}

} // namespace

TEST_CASE("a pool places on upstreams that take requests, and says when the others do")
{
    UpstreamPool pool = poolOf(2);
    const PooledUpstreamPointer first = pool.choose(requestToApp(), start);
    REQUIRE(first);
    pool.backpressure().record(first->process(), limitedTo(0.5), start);
    pool.takePermit(*first, start);
    const PooledUpstreamPointer second = pool.choose(requestToApp(), start);
    REQUIRE(second);
    CHECK(second != first);
    CHECK_FALSE(pool.backpressureWait(requestToApp(), start));

    pool.backpressure().record(second->process(), limitedTo(0.5), start);
    pool.takePermit(*second, start);
    CHECK_FALSE(pool.choose(requestToApp(), start));
    const auto wait = pool.backpressureWait(requestToApp(), start);
    REQUIRE(wait);
    REQUIRE(wait->m_perSecond);
    CHECK(isNear(*wait->m_perSecond, 1));
    CHECK(wait->m_upstreams == 2);
    CHECK(pool.choose(requestToApp(), start + wait->m_first));
}

TEST_CASE("a service without upstreams doesn't count as one that asked for fewer requests")
{
    const UpstreamPool pool = poolOf(0);
    CHECK_FALSE(pool.backpressureWait(requestToApp(), start));
}

// Guards against requests that a resting upstream turns away one after the other.
TEST_CASE("an upstream that asked for rest gets nothing until its end")
{
    UpstreamBackpressure backpressure;
    backpressure.recordRest(engine, start + 3s, start);
    backpressure.recordRest(engine, start + 2s, start);
    CHECK(backpressure.isResting(engine, start + 2500ms));
    CHECK_FALSE(backpressure.accepts(engine, start + 2500ms));
    CHECK(backpressure.timeUntilAccepted(engine, start + 2500ms, 1min) == 500ms);
    CHECK(backpressure.accepts(engine, start + 3s));
    CHECK(backpressure.accepts({engine.m_id, engine.m_startedAt + 1}, start));
    CHECK(backpressure.report({engine}, start).m_rateLimits.empty());
    backpressure.removeExpired({engine}, start + 3s);
    CHECK(backpressure.isEmpty());
}

TEST_CASE("a rest and a limit hold both")
{
    UpstreamBackpressure backpressure;
    backpressure.record(engine, limitedTo(10), start);
    backpressure.recordRest(engine, start + 3s, start);
    CHECK_FALSE(backpressure.accepts(engine, start + 2s));
    CHECK(backpressure.accepts(engine, start + 3s));
    backpressure.takePermit(engine, start + 3s);
    backpressure.takePermit(engine, start + 3s);
    CHECK(sendable(backpressure, start + 3s, 1s) < 20);
}

TEST_CASE("callers are told when the first upstream that rests takes requests again")
{
    UpstreamPool pool = poolOf(2);
    for (const auto &[id, upstream] : pool.upstreams()) {
        const Duration rest = id == UpstreamId("u-0") ? 2s : 4s;
        pool.backpressure().recordRest(upstream->process(), start + rest, start);
    }
    const auto wait = pool.backpressureWait(requestToApp(), start);
    REQUIRE(wait);
    CHECK(wait->m_first == 2s);
    CHECK_FALSE(wait->m_perSecond);
    ReturnPacing returns;
    CHECK(returns.next(ServiceId("app"), wait->m_first, wait->m_perSecond, start) == 2s);
    CHECK(returns.next(ServiceId("app"), wait->m_first, wait->m_perSecond, start) == 2s);
}

TEST_CASE("a pool doesn't place on upstreams that said that they leave")
{
    UpstreamPool pool = poolOf(2);
    const PooledUpstreamPointer first = pool.choose(requestToApp(), start);
    REQUIRE(first);
    pool.backpressure().recordLeaving(first->process(), start);
    const PooledUpstreamPointer second = pool.choose(requestToApp(), start);
    REQUIRE(second);
    CHECK(second != first);
    CHECK(pool.placeable(ServiceId("app")).size() == 1);
    pool.backpressure().recordLeaving(second->process(), start);
    CHECK_FALSE(pool.choose(requestToApp(), start));
    CHECK_FALSE(pool.backpressureWait(requestToApp(), start));
}

// Guards against rejected callers that return together and are rejected again.
TEST_CASE("callers are asked to return one after the other")
{
    ReturnPacing returns;
    const ServiceId app("app");
    CHECK(returns.next(app, 500ms, 2, start) == 500ms);
    CHECK(returns.next(app, 500ms, 2, start) == 1s);
    CHECK(returns.next(app, 500ms, 2, start) == 1500ms);
    CHECK(returns.next(ServiceId("other"), 500ms, 2, start) == 500ms);
    for (int caller = 0; caller < 100; ++caller)
        CHECK(returns.next(app, 500ms, 2, start) <= ReturnPacing::maxDelay);
    CHECK(returns.next(app, 500ms, 2, start + 1min) == 500ms);
}

TEST_CASE("callers may return at once where only other VMs can serve them")
{
    ReturnPacing returns;
    CHECK(returns.next(ServiceId("app"), 1min, 0, start) == Duration::zero());
}
