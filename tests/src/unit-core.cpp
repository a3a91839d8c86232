#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/core/registry.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;

TEST_CASE("clock")
{
    Clock clock;

    SECTION("a paused clock moves only when advanced")
    {
        clock.pause();
        const TimePoint before = clock.now();
        const WallMillis wallBefore = clock.wallNow();
        CHECK(clock.now() == before);
        clock.advance(std::chrono::seconds(3));
        CHECK(clock.now() - before == std::chrono::seconds(3));
        CHECK(clock.wallNow() - wallBefore == 3000);
    }

    SECTION("a running clock ignores an advance")
    {
        const TimePoint before = clock.now();
        clock.advance(std::chrono::hours(10));
        CHECK(clock.now() - before < std::chrono::hours(9));
    }
}

TEST_CASE("findings")
{
    SECTION("a line names the place, the number, the name and the hint")
    {
        const Finding finding{ErrorId::SettingsUnknownKey,
                              {"fleet.yaml", 3, 5},
                              "unknown key 'wieght'",
                              "did you mean 'weight'?"};
        CHECK(toLine(finding)
              == "fleet.yaml:3:5: error 103 (settings-unknown-key): unknown key 'wieght' (did you "
                 "mean 'weight'?)");
    }
}

TEST_CASE("registry")
{
    using Numbers = Registry<int, int>;
    const Registration<int, int> registration{"twice", [](int value) {
                                                  return 2 * value;
                                              }};

    SECTION("makes a plug-in by its name")
    {
        CHECK(Numbers::instance().make("twice", 4) == 8);
    }

    SECTION("has nothing for a name that nobody registered")
    {
        CHECK_FALSE(Numbers::instance().make("thrice", 4).has_value());
    }
}
