#include "support/upstream_news_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array> // array

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

struct Fleet
{
    std::size_t m_vms = 0;
    std::size_t m_dataCentres = 0;
    Duration m_bound{};
};

constexpr std::array<Fleet, 3> fleets = {{{9, 4, 2s}, {65, 3, 3s}, {195, 5, 4s}}};

void checkFleets(NewsTroubles troubles)
{
    for (const Fleet &fleet : fleets) {
        INFO(fleet.m_vms << " VMs");
        REQUIRE(rc::check([&fleet, troubles](std::uint32_t seed) {
            UpstreamNewsWorld world(fleet.m_vms, fleet.m_dataCentres, fleet.m_bound, troubles,
                                    seed);
            RC_ASSERT(world.play(60s) == 0);
        }));
    }
}

} // namespace

// Guards against requests to an upstream that left, placed by a VM whose list counts as fresh
// though what confirmed it was long under way.
TEST_CASE("a leaving upstream is left alone in time though readers are slow")
{
    NewsTroubles troubles;
    troubles.m_slowest = 3s;
    troubles.m_hasSlow = true;
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}

// Guards against patiences on the way of an upstream's leaving that add up to more than the bound.
TEST_CASE("a leaving upstream is left alone in time in all troubles at once")
{
    NewsTroubles troubles;
    troubles.m_slowest = 3s;
    troubles.m_hasSlow = true;
    troubles.m_hasTurnedAway = true;
    troubles.m_hasKilled = true;
    troubles.m_hasDropped = true;
    troubles.m_hasLostAnswers = true;
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}

// Guards against readers that never learn of a leaving upstream once the store dropped its history.
TEST_CASE("a leaving upstream is left alone in time though the store drops its history")
{
    NewsTroubles troubles;
    troubles.m_hasKilled = true;
    troubles.m_hasTurnedAway = true;
    troubles.m_hasDropped = true;
    troubles.m_isQuiet = GENERATE(false, true);
    checkFleets(troubles);
}
