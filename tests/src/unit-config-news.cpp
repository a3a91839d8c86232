#include <gypsumdale/entry/config_source_selector.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

} // namespace

TEST_CASE("a version that a reader tells of")
{
    ConfigSourceSelector news;

    SECTION("is asked of it, once")
    {
        CHECK(news.take(2, 1, true, start));
        CHECK_FALSE(news.take(2, 1, true, start + 10ms));
        CHECK_FALSE(news.mustRead(1, start + 790ms));
    }
    SECTION("is no news to who holds it or a newer one")
    {
        CHECK_FALSE(news.take(2, 2, true, start));
        CHECK_FALSE(news.take(2, 3, true, start));
        CHECK_FALSE(news.mustRead(2, start + 10s));
    }
    SECTION("is read from the store where the reader doesn't bring it in time")
    {
        news.take(2, 1, true, start);
        CHECK(news.mustRead(1, start + ConfigSourceSelector::readerTimeout));
    }
    SECTION("is read from the store at once where the reader doesn't send it")
    {
        CHECK_FALSE(news.take(2, 1, false, start));
        CHECK(news.mustRead(1, start));
    }
    SECTION("is asked of the other reader where the first fails")
    {
        news.take(2, 1, true, start);
        CHECK(news.take(2, 1, true, start + ConfigSourceSelector::minRequestInterval));
    }
}

TEST_CASE("a VM that knows no configuration waits to be told while there is none")
{
    ConfigSourceSelector news;
    CHECK_FALSE(news.take(0, 0, true, start));
    CHECK_FALSE(news.mustRead(0, start + 10s));
    CHECK(news.take(1, 0, true, start + 10s));
}

// Guards against reads of every version of a quick succession from the store by every VM.
TEST_CASE("of versions in quick succession each VM gets the newest from its reader")
{
    ConfigSourceSelector news;
    std::int64_t own = 1;
    int asked = 0;
    int reads = 0;
    constexpr int versions = 50;
    for (std::int64_t told = 2; told <= versions; ++told) {
        const TimePoint now = start + 80ms * told;
        reads += news.mustRead(own, now) ? 1 : 0;
        if (!news.take(told, own, true, now))
            continue;
        ++asked;
        own = told;
        news.onAdopted(now);
    }
    CHECK(asked <= 8);
    CHECK(reads == 0);
    const TimePoint end = start + 80ms * versions + ConfigSourceSelector::minRequestInterval;
    CHECK((own == versions || news.take(versions, own, true, end)));
}
