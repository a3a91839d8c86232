#include <gypsumdale/entry/upstream_list_sync.hpp>

#include <catch2/catch.hpp>

#include <variant> // holds_alternative

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

UpstreamRecord recordOf(const char *id)
{
    UpstreamRecord record;
    record.m_id = UpstreamId(id);
    return record;
}

UpstreamList listAt(std::int64_t revision)
{
    UpstreamList list;
    list.m_revision = revision;
    list.m_upstreams.emplace(UpstreamId("a"), recordOf("a"));
    return list;
}

UpstreamListUpdate newsAt(std::int64_t revision)
{
    UpstreamListUpdate news;
    news.m_revision = revision;
    news.m_changes.push_back({recordOf("a"), UpstreamChangeKind::Present});
    return news;
}

struct Vm
{
    explicit Vm(StoreRole role)
        : m_following(m_bounds)
    {
        m_following.setRole(role);
    }

    template <typename Step>
    bool isNext() const
    {
        return std::holds_alternative<Step>(m_following.next(m_now));
    }

    EntryBounds m_bounds;
    UpstreamListSync m_following;
    TimePoint m_now{1h};
};

} // namespace

TEST_CASE("how a VM follows the list of upstreams")
{
    SECTION("the list is read before its changes")
    {
        Vm vm(StoreRole::Alone);
        CHECK(vm.isNext<ListStep>());
        vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
        const SyncStep next = vm.m_following.next(vm.m_now);
        REQUIRE(std::holds_alternative<WatchStep>(next));
        CHECK(std::get<WatchStep>(next).m_revision == 10);
    }

    SECTION("a follower reads for itself once it was not told for half of the bound")
    {
        Vm vm(StoreRole::Follower);
        vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
        vm.m_now += vm.m_bounds.m_leavingApply / 2 - 1ms;
        CHECK(vm.isNext<IdleStep>());
        vm.m_now += 1ms;
        CHECK(vm.isNext<WatchStep>());
    }

    SECTION("an answer that a peer's word has overtaken is not taken")
    {
        Vm vm(StoreRole::Follower);
        vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
        vm.m_following.receiveUpdate(newsAt(12), ReportedAge(), vm.m_now);
        CHECK_FALSE(vm.m_following.applyChanges({}, 11, {vm.m_now, 1s, vm.m_now}));
        CHECK(vm.m_following.feed().revision() == 12);
    }
}

// Guards against readers that never learn of a leaving upstream because each resets the other to a
// revision whose history the store has dropped.
TEST_CASE("the list is read anew where the store has dropped the history, whatever peers tell")
{
    Vm vm(GENERATE(StoreRole::Reader, StoreRole::Follower, StoreRole::Alone));
    vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
    vm.m_now += 2s;
    vm.m_following.noteFailed(ReadFailure::HistoryDropped);
    REQUIRE(vm.isNext<ListStep>());

    SECTION("a reader tells of the revision that was refused")
    {
        vm.m_following.receiveUpdate(newsAt(10), ReportedAge(), vm.m_now);
        CHECK(vm.isNext<ListStep>());
    }

    SECTION("the listing ends it")
    {
        vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
        CHECK_FALSE(vm.isNext<ListStep>());
    }

    SECTION("so does a later list")
    {
        vm.m_following.receiveUpdate(newsAt(11), ReportedAge(), vm.m_now);
        CHECK_FALSE(vm.isNext<ListStep>());
    }
}

// Guards against timeouts that add up: a VM with an old list sends short watches, whatever its
// role.
TEST_CASE("a list that has used up half of the bound is read at once")
{
    const StoreRole role = GENERATE(StoreRole::Reader, StoreRole::Follower, StoreRole::Alone);
    Vm vm(role);
    vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
    vm.m_now += vm.m_bounds.m_leavingApply / 2;
    const SyncStep next = vm.m_following.next(vm.m_now);
    REQUIRE(std::holds_alternative<WatchStep>(next));
    CHECK(std::get<WatchStep>(next).m_wait == 50ms);

    SECTION("and before that no watch waits beyond it")
    {
        Vm reader(StoreRole::Reader);
        reader.m_following.applyListing(listAt(10), reader.m_now, reader.m_now);
        reader.m_now += reader.m_bounds.m_leavingApply / 2 - 200ms;
        const SyncStep last = reader.m_following.next(reader.m_now);
        CHECK(std::get<WatchStep>(last).m_wait == 200ms);
    }

    SECTION("and read whole without a pause where the store refuses its changes")
    {
        vm.m_following.noteFailed(ReadFailure::HistoryDropped);
        CHECK(vm.m_following.delayAfterRead(vm.m_now) == 0ms);
        vm.m_following.noteFailed(ReadFailure::Unanswered);
        CHECK(vm.m_following.delayAfterRead(vm.m_now) > 0ms);
    }
}

// Guards against lists that count as fresh although the update that confirmed them was delayed or
// waited to be read.
TEST_CASE("a list is as old as what surely confirmed it")
{
    Vm vm(StoreRole::Follower);
    vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now + 700ms);
    CHECK(vm.m_following.confirmedAt() == vm.m_now);
    const TimePoint sentAt = vm.m_now + 1s;

    SECTION("a watch that waited in vain confirms what was true until its end")
    {
        vm.m_following.applyChanges({}, 10, {sentAt, 50ms, sentAt + 400ms});
        CHECK(vm.m_following.confirmedAt() == sentAt + 50ms);
    }

    SECTION("a watch that brought changes may have been answered when it was sent")
    {
        const UpstreamChange change{recordOf("b"), UpstreamChangeKind::Present};
        vm.m_following.applyChanges({change}, 11, {sentAt, 500ms, sentAt + 900ms});
        CHECK(vm.m_following.confirmedAt() == sentAt);
    }

    SECTION("an answer that is overtaken confirms the later list")
    {
        vm.m_following.receiveUpdate(newsAt(12), ReportedAge(), sentAt);
        CHECK(vm.m_following.confirmedAt() == vm.m_now);
        vm.m_following.applyChanges({}, 11, {sentAt, 50ms, sentAt + 50ms});
        CHECK(vm.m_following.confirmedAt() == sentAt + 50ms);
    }

    SECTION("news are as old as they were when they were sent, and older by their way")
    {
        vm.m_following.receiveUpdate(newsAt(12), {300ms, sentAt}, sentAt + 2s);
        CHECK(vm.m_following.confirmedAt() == sentAt - 300ms);
        CHECK(vm.m_following.age(sentAt + 2s) == 2300ms);
    }

    SECTION("news of unknown age bring a later list and confirm nothing")
    {
        vm.m_following.receiveUpdate(newsAt(12), {0ms, std::nullopt}, sentAt);
        CHECK(vm.m_following.feed().revision() == 12);
        CHECK(vm.m_following.confirmedAt() == vm.m_now);
    }

    SECTION("so is a list that a peer passes on")
    {
        const TimePoint later = vm.m_now + 5s;
        vm.m_following.applyFromPeer(listAt(12), {500ms, later - 1s}, later);
        CHECK(vm.m_following.confirmedAt() == later - 1500ms);
    }
}

TEST_CASE("a list can't be had any newer only where a question was left unanswered")
{
    // A VM that is partitioned from the store has to serve requests with an old list; a VM that can
    // get a newer list must not.
    Vm vm(StoreRole::Alone);
    vm.m_following.applyListing(listAt(10), vm.m_now, vm.m_now);
    CHECK(vm.m_following.standing().m_confirmedAt == vm.m_now);
    CHECK_FALSE(vm.m_following.standing().m_isUnconfirmable);

    SECTION("by a store that stays silent, until it answers")
    {
        vm.m_following.noteFailed(ReadFailure::Unanswered);
        CHECK(vm.m_following.standing().m_isUnconfirmable);
        vm.m_following.applyChanges({}, 10, {vm.m_now + 1s, 50ms, vm.m_now + 2s});
        CHECK_FALSE(vm.m_following.standing().m_isUnconfirmable);
    }

    SECTION("not by a store that has dropped the history")
    {
        vm.m_following.noteFailed(ReadFailure::HistoryDropped);
        CHECK_FALSE(vm.m_following.standing().m_isUnconfirmable);
    }
}
