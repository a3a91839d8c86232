#include <gypsumdale/fleet/notice_table.hpp>
#include <gypsumdale/fleet/observation_schedule.hpp>
#include <gypsumdale/fleet/probe_duty.hpp>
#include <gypsumdale/fleet/route_scope.hpp>
#include <gypsumdale/fleet/upstream_state_tracker.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const ServiceId service("asistente");
const DataCentreId banos("banos");
const DataCentreId cuenca("cuenca");
const TimePoint start = TimePoint() + seconds(1000);
constexpr WallMillis wall = 1000000;
constexpr WallMillis wallSecond = 1000;

UpstreamDeclaration runnerOn(const std::string &vm)
{
    UpstreamDeclaration declaration;
    declaration.m_upstream = UpstreamId("runner-" + vm);
    declaration.m_service = service;
    declaration.m_dataCentre = banos;
    declaration.m_vm = VmId(vm);
    return declaration;
}

UpstreamLoad loadOf(Incarnation incarnation, int running)
{
    return {incarnation, 16, running, 0, 0};
}

} // namespace

TEST_CASE("A notice book tells copies, late notices and fresh ones apart")
{
    NoticeTable book(seconds(30), minutes(10));
    const LeavingNotice notice = reclaimNotice(VmId("vm-1"), banos, wall + 10 * wallSecond, 1);
    CHECK(book.take(notice, start, wall) == NoticeStatus::Fresh);
    const std::int64_t digest = book.digest();
    CHECK(digest != 0);
    CHECK(book.take(notice, start, wall) == NoticeStatus::Known);
    CHECK(book.digest() == digest);

    SECTION("one that comes longer after its deadline than the list may lag is late")
    {
        const LeavingNotice old = reclaimNotice(VmId("vm-2"), banos, wall - 31 * wallSecond, 2);
        CHECK(book.take(old, start, wall) == NoticeStatus::Late);
        const LeavingNotice recent = reclaimNotice(VmId("vm-3"), banos, wall - 30 * wallSecond, 3);
        CHECK(book.take(recent, start, wall) == NoticeStatus::Fresh);
    }

    SECTION("one that ran out is not taken in again for as long as peers may still send it")
    {
        const TimePoint expiry = start + seconds(10) + minutes(10);
        book.expire(expiry - milliseconds(1));
        CHECK(book.all().size() == 1);
        book.expire(expiry);
        CHECK(book.all().empty());
        CHECK(book.digest() == 0);
        CHECK(book.take(notice, expiry, wall) == NoticeStatus::Known);
        book.expire(expiry + minutes(10));
        CHECK(book.take(notice, expiry + minutes(10), wall) == NoticeStatus::Fresh);
    }

    SECTION("it concerns an upstream on the VM that shows up later, and no other")
    {
        const auto concerns = book.effectsOn(runnerOn("vm-1"), start);
        REQUIRE(concerns.size() == 1);
        CHECK_FALSE(concerns.front().m_heldUntil);
        CHECK(book.effectsOn(runnerOn("vm-2"), start).empty());
    }
}

TEST_CASE("A zone's notice holds back what shows up there until the list has caught up")
{
    NoticeTable book(seconds(30), minutes(10));
    book.take(reclaimNotice(VmId(), banos, wall + 10 * wallSecond, 1), start, wall);
    const auto concerns = book.effectsOn(runnerOn("vm-1"), start + seconds(39));
    REQUIRE(concerns.size() == 1);
    CHECK(concerns.front().m_heldUntil == start + seconds(40));
    CHECK(book.effectsOn(runnerOn("vm-1"), start + seconds(40)).empty());
}

TEST_CASE("The first owner tells of loads and the second one only of changes of state")
{
    const Duration interval = seconds(5);
    const Duration probes = milliseconds(500);
    ObservationSchedule first;
    ObservationSchedule second;
    const auto speaks = [&](ObservationSchedule &word, OwnerRank rank, UpstreamState state,
                            int running, TimePoint now) {
        return word.recordIfDue(rank, state, loadOf(1, running), interval, probes, now);
    };
    second.recordFirstOwnerReport(start);
    CHECK(speaks(first, OwnerRank::First, UpstreamState::Live, 4, start));
    CHECK(speaks(second, OwnerRank::Second, UpstreamState::Live, 4, start));

    const TimePoint soon = start + seconds(1);
    CHECK_FALSE(speaks(first, OwnerRank::First, UpstreamState::Live, 5, soon));
    CHECK(speaks(first, OwnerRank::First, UpstreamState::Live, 6, soon));
    CHECK_FALSE(speaks(second, OwnerRank::Second, UpstreamState::Live, 16, soon));
    CHECK(speaks(second, OwnerRank::Second, UpstreamState::Suspect, 16, soon));
    CHECK(second.state() == UpstreamState::Suspect);

    SECTION("an unchanged load is told again each interval")
    {
        const TimePoint later = soon + interval;
        CHECK_FALSE(
                speaks(first, OwnerRank::First, UpstreamState::Live, 6, later - milliseconds(1)));
        CHECK(speaks(first, OwnerRank::First, UpstreamState::Live, 6, later));
    }

    SECTION("the second owner speaks for a first one that fell silent")
    {
        const TimePoint silent = start + 3 * interval;
        CHECK_FALSE(speaks(second, OwnerRank::Second, UpstreamState::Suspect, 2, silent));
        CHECK(speaks(second, OwnerRank::Second, UpstreamState::Suspect, 2,
                     silent + milliseconds(1)));
    }
}

TEST_CASE("Probes come the more rarely the more upstreams a node owns")
{
    UpstreamTableSettingsBuilder builder;
    builder.self(NodeId("node-1"), banos).probeInterval(milliseconds(500)).probesPerSecond(10);
    ProbeDuty duty(builder.build());
    CHECK(duty.isFullMesh());
    CHECK(duty.ownersOf(UpstreamId("runner-1")).nodes() == std::vector{NodeId("node-1")});
    for (int owned = 0; owned < 5; ++owned)
        duty.add();
    CHECK(duty.interval() == milliseconds(500));
    for (int owned = 5; owned < 20; ++owned)
        duty.add();
    CHECK(duty.interval() == seconds(2));
    for (int owned = 20; owned < 500; ++owned)
        duty.add();
    CHECK(duty.interval() == seconds(10));

    std::vector<NodeId> nodes;
    for (int node = 1; node <= 13; ++node)
        nodes.emplace_back("node-" + std::to_string(node));
    CHECK(duty.setNodes(nodes));
    CHECK_FALSE(duty.setNodes(nodes));
    CHECK_FALSE(duty.isFullMesh());
    const ProbeOwners owners = duty.ownersOf(UpstreamId("runner-1"));
    REQUIRE(owners.nodes().size() == 2);
    CHECK(owners.isFirst(owners.nodes().front()));
    CHECK_FALSE(owners.isFirst(owners.nodes().back()));
    CHECK(owners.includes(owners.nodes().back()));
}

TEST_CASE("A watched upstream under notice stays leaving whatever it answers")
{
    UpstreamCommands commands;
    UpstreamStateTracker watch(runnerOn("vm-1"), UpstreamLocality::Local, start);
    CHECK(watch.recordLoad(loadOf(3, 0), start));
    watch.recoverIfAnswered(start, commands);
    CHECK(watch.view().m_state == UpstreamState::Live);

    SECTION("of a reclaimed VM also in a higher incarnation, and gone once silent")
    {
        const LeavingNotice notice = reclaimNotice(VmId("vm-1"), banos, wall + wallSecond, 1);
        watch.leave(notice, start, commands);
        CHECK(watch.recordLoad(loadOf(4, 0), start + seconds(1)));
        watch.recoverIfAnswered(start + seconds(1), commands);
        CHECK(watch.view().m_state == UpstreamState::Leaving);
        const SilenceLimits limits{seconds(3), seconds(1), seconds(20)};
        const WallMillis deadline = wall + wallSecond;
        watch.updateByTime(UpstreamLocality::Local, true, limits, start + seconds(3), deadline,
                           commands);
        CHECK(watch.view().m_state == UpstreamState::Leaving);
        watch.updateByTime(UpstreamLocality::Local, true, limits, start + seconds(4), deadline,
                           commands);
        CHECK(watch.view().m_state == UpstreamState::Gone);
    }

    SECTION("of a drained process until a higher incarnation answers")
    {
        watch.leave(drainNotice(watch.view().m_declaration.m_upstream, 3, wall), start, commands);
        CHECK(watch.recordLoad(loadOf(3, 0), start + seconds(1)));
        watch.recoverIfAnswered(start + seconds(1), commands);
        CHECK(watch.view().m_state == UpstreamState::Leaving);
        CHECK(watch.recordLoad(loadOf(4, 0), start + seconds(2)));
        watch.recoverIfAnswered(start + seconds(2), commands);
        CHECK(watch.view().m_state == UpstreamState::Live);
    }

    SECTION("a drain of an earlier incarnation is not for it")
    {
        watch.leave(drainNotice(watch.view().m_declaration.m_upstream, 2, wall), start, commands);
        CHECK(watch.view().m_state == UpstreamState::Live);
    }

    SECTION("a load of an earlier incarnation, or an older one, is not taken")
    {
        CHECK_FALSE(watch.recordLoad(loadOf(2, 0), start + seconds(1)));
        CHECK_FALSE(watch.recordLoad(loadOf(3, 0), start - seconds(1)));
    }
}

TEST_CASE("A request stays in its data centre while that has room or nothing else has")
{
    ServiceCapacity capacity{service, 2, 16, 4, 0};
    ReceivedSummary summary;
    summary.m_summary.m_services = {capacity};
    summary.m_receivedAt = start;
    const std::map<DataCentreId, ReceivedSummary> summaries = {{cuenca, summary}};
    const auto scopeOf = [&](const OwnCapacity &room, RemoteScope scope, Duration age) {
        return chooseRouteScope(room, service, scope, summaries, seconds(10), start + age);
    };
    const OwnCapacity none;
    const OwnCapacity suspect{true, false, false};
    const OwnCapacity full{true, true, false};
    const OwnCapacity roomy{true, true, true};

    CHECK(std::holds_alternative<RouteOwn>(scopeOf(roomy, RemoteScope::WhenFull, {})));
    CHECK(std::holds_alternative<RouteRemote>(scopeOf(full, RemoteScope::WhenFull, {})));
    CHECK(std::holds_alternative<RouteOwn>(scopeOf(full, RemoteScope::WhenGone, {})));
    CHECK(std::holds_alternative<RouteRemote>(scopeOf(suspect, RemoteScope::WhenGone, {})));
    CHECK(std::holds_alternative<RouteOwn>(scopeOf(suspect, RemoteScope::Never, {})));
    CHECK(std::holds_alternative<RouteUnavailable>(scopeOf(none, RemoteScope::Never, {})));
    CHECK(std::holds_alternative<RouteRemote>(scopeOf(none, RemoteScope::WhenGone, {})));

    SECTION("an old summary counts for nothing")
    {
        CHECK(std::holds_alternative<RouteOwn>(scopeOf(full, RemoteScope::WhenFull, seconds(11))));
        CHECK(std::holds_alternative<RouteUnavailable>(
                scopeOf(none, RemoteScope::WhenFull, seconds(11))));
    }
}
