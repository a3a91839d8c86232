#include <gypsumdale/serving/upstream_history.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string

using namespace gypsumdale;

TEST_CASE("the history of a list of upstreams")
{
    UpstreamHistory history;
    history.recordChange(UpstreamId("a"));
    history.recordChange(UpstreamId("b"));
    const std::int64_t before = history.newest();

    SECTION("tells what came after a number")
    {
        history.noteGone(UpstreamId("a"));
        history.recordChange(UpstreamId("c"));
        const auto differences = history.since(before);
        REQUIRE(differences);
        CHECK(differences->m_changed == std::vector{UpstreamId("c")});
        CHECK(differences->m_gone == std::vector{UpstreamId("a")});
        CHECK(history.since(history.newest())->m_changed.empty());
    }
    SECTION("tells the last of several changes")
    {
        history.noteGone(UpstreamId("b"));
        history.recordChange(UpstreamId("b"));
        CHECK(history.since(before)->m_gone.empty());
    }
    SECTION("knows nothing of a number that it has not given")
    {
        CHECK_FALSE(history.since(before + 1));
    }
    SECTION("forgets upstreams that left long ago, and says so")
    {
        // Reclaimable engines come and go all day under new ids; the records kept of them are
        // bounded.
        for (int number = 0; number < 3000; ++number)
            history.noteGone(UpstreamId(std::to_string(number)));
        CHECK_FALSE(history.since(before));
        const auto recent = history.since(history.newest() - 100);
        REQUIRE(recent);
        CHECK(recent->m_gone.size() == 100);
    }
}
