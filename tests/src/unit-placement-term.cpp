#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/placement_deadline.hpp>

#include <chrono> // milliseconds, seconds
#include <optional> // optional

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr Duration leavingApply = 3s;

/// A list whose age a test controls by a paused clock.
struct ListInUse
{
    ListInUse() { m_clock.pause(); }

    /// Records that the store confirms the list now.
    void confirm() { m_list.m_confirmedAt = m_clock.now(); }
    std::optional<TimePoint> until() const { return m_term.until(m_list, m_clock.now()); }

    Clock m_clock;
    PlacementDeadline m_term{leavingApply};
    ListConfirmation m_list;
};

} // namespace

TEST_CASE("a placement holds from the confirmation of its list on")
{
    // The deadline was counted from the placement, so that an old list was valid as long as a new
    // one.
    ListInUse use;
    use.confirm();
    const TimePoint confirmedAt = use.m_clock.now();
    const TimePoint expected = confirmedAt + leavingApply - PlacementDeadline::deliveryMargin;
    REQUIRE(use.until() == expected);

    SECTION("also when the list has aged")
    {
        use.m_clock.advance(2s);
        REQUIRE(use.until() == expected);
    }

    SECTION("longer once the list is confirmed anew")
    {
        use.m_clock.advance(2s);
        use.confirm();
        REQUIRE(use.until() == expected + 2s);
    }

    SECTION("to the last moment and no longer")
    {
        use.m_clock.advance(leavingApply - PlacementDeadline::deliveryMargin - 1ns);
        REQUIRE(use.until() == expected);
        use.m_clock.advance(1ns);
        REQUIRE_FALSE(use.until());
    }
}

TEST_CASE("a list that can't be had any newer is placed by for a short time")
{
    // A VM without contact to the store would serve nobody, or use its old list without a limit.
    ListInUse use;
    use.confirm();
    use.m_list.m_isUnconfirmable = true;

    SECTION("while it is new it holds as any other")
    {
        REQUIRE(use.until()
                == use.m_clock.now() + leavingApply - PlacementDeadline::deliveryMargin);
    }

    SECTION("an old one holds from the placement on")
    {
        use.m_clock.advance(60s);
        REQUIRE(use.until() == use.m_clock.now() + PlacementDeadline::unconfirmableTimeout);
    }
}

TEST_CASE("the term of a placement made is moved by a confirmation only")
{
    // A deadline recomputed at each check would never pass while the store is unavailable.
    ListInUse use;
    use.confirm();
    use.m_list.m_isUnconfirmable = true;
    use.m_clock.advance(60s);
    const TimePoint placed = *use.until();

    SECTION("not by time")
    {
        use.m_clock.advance(400ms);
        REQUIRE(use.m_term.renewed(placed, use.m_list) == placed);
    }

    SECTION("by a confirmation")
    {
        use.m_clock.advance(400ms);
        use.confirm();
        REQUIRE(use.m_term.renewed(placed, use.m_list)
                == use.m_clock.now() + leavingApply - PlacementDeadline::deliveryMargin);
    }

    SECTION("never to an earlier moment")
    {
        use.m_list.m_confirmedAt = use.m_clock.now() - 2700ms;
        REQUIRE(use.m_term.renewed(placed, use.m_list) == placed);
    }
}

TEST_CASE("a request goes out only if its bytes arrive within its term")
{
    // If the connection took long, the bytes are expected to be late as well.
    Clock clock;
    clock.pause();
    const TimePoint now = clock.now();

    SECTION("a fast connection needs what is left and no more")
    {
        REQUIRE(PlacementDeadline::maySend(now + 1ms + 1ns, 1ms, now));
        REQUIRE_FALSE(PlacementDeadline::maySend(now + 1ms, 1ms, now));
    }

    SECTION("a slow one needs as long again, and leaves the reserve for a way that gets longer")
    {
        REQUIRE(PlacementDeadline::maySend(now + 251ms, 250ms, now));
        REQUIRE_FALSE(PlacementDeadline::maySend(now + 250ms, 250ms, now));
    }

    SECTION("a term that was ended ends it at any speed")
    {
        REQUIRE_FALSE(PlacementDeadline::maySend(TimePoint::min(), 0ms, now));
    }
}

TEST_CASE("no term of a confirmable list outlasts the time to leave an upstream alone")
{
    // Each step kept its own timeout, but their sum exceeded the bound.
    rc::prop("a request that may go out arrives in time if its way takes as long as its connection",
             [] {
                 Clock clock;
                 clock.pause();
                 const auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
                 const auto connecting = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
                 const PlacementDeadline term(leavingApply);
                 const TimePoint now = clock.now();
                 const ListConfirmation list{now - age, false};
                 const auto until = term.until(list, now);
                 RC_ASSERT(until.has_value()
                           == (age < leavingApply - PlacementDeadline::deliveryMargin));
                 if (!until)
                     return;
                 const TimePoint connectedAt = now + connecting;
                 if (PlacementDeadline::maySend(*until, connecting, connectedAt))
                     RC_ASSERT(connectedAt + connecting + PlacementDeadline::deliveryMargin
                               < list.m_confirmedAt + leavingApply);
             });
}
