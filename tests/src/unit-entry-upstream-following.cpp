#include <gypsumdale/entry/upstream_following.hpp>

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

UpstreamNews newsAt(std::int64_t revision)
{
    UpstreamNews news;
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
    UpstreamFollowing m_following;
    TimePoint m_now{1h};
};

} // namespace

TEST_CASE("how a VM follows the list of upstreams")
{
    SECTION("the list is read before its changes")
    {
        Vm vm(StoreRole::Alone);
        CHECK(vm.isNext<ListStep>());
        vm.m_following.takeListing(listAt(10), vm.m_now, vm.m_now);
        const FollowingStep next = vm.m_following.next(vm.m_now);
        REQUIRE(std::holds_alternative<WatchStep>(next));
        CHECK(std::get<WatchStep>(next).m_revision == 10);
    }

    SECTION("a follower reads for itself once it was not told for half of the bound")
    {
        Vm vm(StoreRole::Follower);
        vm.m_following.takeListing(listAt(10), vm.m_now, vm.m_now);
        vm.m_now += vm.m_bounds.m_leavingApply / 2 - 1ms;
        CHECK(vm.isNext<RestStep>());
        vm.m_now += 1ms;
        CHECK(vm.isNext<WatchStep>());
    }

    SECTION("an answer that a peer's word has overtaken is not taken")
    {
        Vm vm(StoreRole::Follower);
        vm.m_following.takeListing(listAt(10), vm.m_now, vm.m_now);
        vm.m_following.takeNews(newsAt(12), 0ms, vm.m_now);
        CHECK_FALSE(vm.m_following.takeChanges({}, 11, vm.m_now, vm.m_now));
        CHECK(vm.m_following.feed().revision() == 12);
    }
}

// Guards against readers that never learn of a leaving upstream: each brings the other back to
// where the store has dropped the history.
TEST_CASE("the list is read anew where the store has dropped the history, whatever peers tell")
{
    Vm vm(GENERATE(StoreRole::Reader, StoreRole::Follower, StoreRole::Alone));
    vm.m_following.takeListing(listAt(10), vm.m_now, vm.m_now);
    vm.m_now += 2s;
    vm.m_following.noteFailed(ReadingFailure::HistoryGone);
    REQUIRE(vm.isNext<ListStep>());

    SECTION("a reader tells of the revision that was refused")
    {
        vm.m_following.takeNews(newsAt(10), 2s, vm.m_now);
        CHECK(vm.isNext<ListStep>());
    }

    SECTION("the listing ends it")
    {
        vm.m_following.takeListing(listAt(10), vm.m_now, vm.m_now);
        CHECK_FALSE(vm.isNext<ListStep>());
    }

    SECTION("so does a later list")
    {
        vm.m_following.takeNews(newsAt(11), 0ms, vm.m_now);
        CHECK_FALSE(vm.isNext<ListStep>());
    }
}
