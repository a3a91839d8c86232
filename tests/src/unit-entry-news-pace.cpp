#include <gypsumdale/entry/news_pace.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

TEST_CASE("a reader tells its followers")
{
    const TimePoint start{1h};
    const NewsState told{3, 7, start};
    NewsPace pace;
    CHECK(pace.isDue(told, start));
    pace.noteTold(told, start);

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
