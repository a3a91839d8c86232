#include <gypsumdale/jobs/checkpoint_policy.hpp>
#include <gypsumdale/jobs/epoch_history.hpp>

#include <catch2/catch.hpp>

#include <cmath> // abs

using namespace gypsumdale;
using namespace std::chrono_literals;

TEST_CASE("checkpoints are due by policy", "[jobs]")
{
    CheckpointSettings settings;
    settings.m_everyTokens = 100;
    settings.m_interval = 5s;
    CheckpointLoad load{.m_unsavedTokens = 150,
                        .m_runningJobs = 2,
                        .m_tokensPerSecond = 40,
                        .m_sinceLastWrite = 4s};
    const auto make = [&settings](std::string_view name) {
        const auto policy = CheckpointPolicies::instance().make(name, settings);
        REQUIRE(policy.has_value());
        return *policy;
    };

    SECTION("by tokens, on average over the node's jobs")
    {
        CHECK_FALSE(isCheckpointDue(make("every-tokens"), load));
        load.m_unsavedTokens = 200;
        CHECK(isCheckpointDue(make("every-tokens"), load));
    }

    SECTION("by time, and never for nothing")
    {
        CHECK_FALSE(isCheckpointDue(make("every-interval"), load));
        load.m_sinceLastWrite = 5s;
        CHECK(isCheckpointDue(make("every-interval"), load));
        load.m_unsavedTokens = 0;
        CHECK_FALSE(isCheckpointDue(make("every-interval"), load));
    }

    SECTION("at the end only")
    {
        load.m_sinceLastWrite = 1h;
        CHECK_FALSE(isCheckpointDue(make("at-end"), load));
    }

    SECTION("by cost: the square root of twice the write's cost over the loss rate")
    {
        settings.m_lossesPerHour = 0.5;
        settings.m_writeCost = 20;
        settings.m_tokenCost = 2;
        settings.m_writesPerSecond = 10;
        const auto policy = std::get<CostAware>(make("cost-aware"));
        const double expected = std::sqrt(2 * 20 / (0.5 / 3600 * 2 * 40));
        CHECK(std::abs(toMillis(optimalInterval(policy, 40)) - expected * 1000) < 1);
        CHECK(optimalInterval(policy, 1e9) == 100ms);
        CHECK(optimalInterval(policy, 0) == 24h);
        load.m_sinceLastWrite = 61s;
        CHECK(isCheckpointDue(policy, load));
        load.m_sinceLastWrite = 59s;
        CHECK_FALSE(isCheckpointDue(policy, load));
    }

    CHECK_FALSE(CheckpointPolicies::instance().make("sometimes", settings).has_value());
}

TEST_CASE("a caller is told how its tokens stand", "[jobs]")
{
    EpochHistory history;
    history.begin(1, 0);
    history.begin(2, 64);

    SECTION("tokens of a lost generation are cut back")
    {
        // The caller has read 80 tokens of epoch 1 when its node dies; the last checkpoint has 64.
        // The successor continues from there and samples different tokens. With the offset alone,
        // the caller would be served from 80 on and keep 16 tokens that belong to no answer.
        CHECK(history.check(1, 80, 100) == EpochCheck(DiscardAfter{2, 64}));
        CHECK(history.check(2, 80, 100) == EpochCheck(ContinueAt{80}));
    }

    SECTION("tokens before the new epoch stay")
    {
        CHECK(history.check(1, 64, 100) == EpochCheck(ContinueAt{64}));
        CHECK(history.check(1, 10, 100) == EpochCheck(ContinueAt{10}));
        CHECK(history.epochAt(63) == 1);
        CHECK(history.epochAt(64) == 2);
    }

    SECTION("a later epoch that begins earlier takes away from all before it")
    {
        history.begin(5, 40);
        CHECK(history.check(2, 70, 100) == EpochCheck(DiscardAfter{5, 40}));
        CHECK(history.check(1, 50, 100) == EpochCheck(DiscardAfter{5, 40}));
        CHECK(history.check(1, 40, 100) == EpochCheck(ContinueAt{40}));
        CHECK(history.epochAt(39) == 1);
        CHECK(history.epochAt(90) == 5);
    }

    SECTION("an epoch that is not in the list is unknown, whatever its number")
    {
        history.begin(5, 80);
        CHECK(history.check(3, 70, 100) == EpochCheck(UnknownEpoch{}));
        CHECK(history.check(3, 0, 100) == EpochCheck(ContinueAt{0}));
    }

    SECTION("more than there is, is cut back to the end")
    {
        CHECK(history.check(2, 120, 100) == EpochCheck(DiscardAfter{2, 100}));
    }

    SECTION("positions are read and written")
    {
        CHECK(toText(AnswerPosition{3, 17}) == "3:17");
        CHECK(parsePosition("3:17") == AnswerPosition{3, 17});
        for (const char *text :
             {"", "3", ":", "3:", "3:x", "-1:2", "3:17 ", "3:99999999999999999999"})
            CHECK_FALSE(parsePosition(text).has_value());
    }
}
