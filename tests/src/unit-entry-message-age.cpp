#include <gypsumdale/entry/message_age.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

TEST_CASE("a message tells after which moment it was sent")
{
    constexpr WallMillis process = 17;
    const TimePoint asked{1h};
    // The other VM has a clock of its own.
    const TimePoint heardThere{20h};
    LastPeerTimestamp heard;
    REQUIRE_FALSE(heard.echo(heardThere));
    heard.recordReceived({process, asked}, heardThere);
    const auto echo = heard.echo(heardThere + 400ms);

    SECTION("whenever it is read")
    {
        CHECK(sentAfter(echo, process, asked + 401ms) == asked + 400ms);
        CHECK(sentAfter(echo, process, asked + 9s) == asked + 400ms);
    }

    SECTION("but not after its receipt, where clocks differ in speed")
    {
        CHECK(sentAfter(echo, process, asked + 390ms) == asked + 390ms);
    }

    SECTION("nor to a later process, whose clock may be another")
    {
        CHECK_FALSE(sentAfter(echo, process + 1, asked + 9s));
        CHECK_FALSE(sentAfter(std::nullopt, process, asked));
    }
}

// Guards against a peer's totals that are counted twice: an earlier message that was delayed for a
// long time looks like the first one of a restarted process.
TEST_CASE("a message that a later one has overtaken")
{
    SupersededFilter newest;
    const TimePoint sent{10s};
    REQUIRE(newest.take({1, sent}));

    SECTION("is told by the sender's clock")
    {
        CHECK_FALSE(newest.take({1, sent - 1ms}));
        CHECK(newest.take({1, sent}));
        CHECK(newest.take({1, sent + 1ms}));
    }
    SECTION("is none of another process, whose clock says nothing of it")
    {
        CHECK(newest.take({2, sent - 5s}));
        CHECK_FALSE(newest.take({2, sent - 6s}));
    }
}
