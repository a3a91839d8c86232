#include <gypsumdale/entry/update_pacing.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

TEST_CASE("a reader tells its followers")
{
    const TimePoint start{1h};
    const UpdateState told{3, 7, start};
    UpdatePacing pace;
    CHECK(pace.isDue(told, start));
    pace.recordSent(told, start);

    SECTION("nothing again for half a second")
    {
        CHECK_FALSE(pace.isDue(told, start + 499ms));
        CHECK(pace.isDue(told, start + 500ms));
    }

    SECTION("at once of a change, a version, or a reading that makes its word fresher")
    {
        CHECK(pace.isDue({4, 7, start}, start + 1ms));
        CHECK(pace.isDue({3, 8, start}, start + 1ms));
        CHECK(pace.isDue({3, 7, start + 1ms}, start + 2ms));
    }
}

// Guards against full lists that fill the link of a follower which can't acknowledge them.
TEST_CASE("a follower without receipts is told the whole list after pauses that grow")
{
    const TimePoint start{1h};
    ReceiptBackoff pause;
    CHECK(pause.isOver(start));

    SECTION("up to a bound")
    {
        TimePoint now = start;
        for (const Duration expected : {250ms, 500ms, 1000ms, 1000ms}) {
            pause.onMissed(now);
            CHECK_FALSE(pause.isOver(now + expected - 1ms));
            CHECK(pause.isOver(now + expected));
            now += expected;
        }
    }

    SECTION("until a receipt comes")
    {
        pause.onMissed(start);
        pause.onMissed(start);
        pause.onApplied();
        CHECK(pause.isOver(start));
        pause.onMissed(start);
        CHECK(pause.isOver(start + 250ms));
    }
}
