#include "support/news_plays.hpp"
#include "support/request_way_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint> // uint32_t, uint64_t

using namespace gypsumdale;
using namespace gypsumdale::testing;
using namespace std::chrono_literals;

namespace {

/// How often something was late in a play.
struct Lateness
{
    int m_learned = 0;
    int m_requests = 0;
    int m_arrivals = 0;
};

Lateness play(const NewsFleet &fleet, const NewsTroubles &troubles, std::uint64_t seed)
{
    RequestWayWorld world(fleet.m_vms, fleet.m_dataCentres, fleet.m_bound, troubles, seed);
    const int learned = world.play(60s);
    return {learned, world.lateRequests(), world.arrivals()};
}

/// Plays of large fleets take ten times as long: one of so many seeds is played.
std::uint32_t seedsPerPlay(const NewsFleet &fleet)
{
    constexpr std::uint32_t ofLarge = 16;
    return fleet.m_vms == smallNewsFleet.m_vms ? 1 : ofLarge;
}

void checkFleets(NewsTroubles troubles)
{
    troubles.m_isQuiet = GENERATE(false, true);
    for (const NewsFleet &fleet : newsFleets) {
        INFO(fleet.m_vms << " VMs");
        REQUIRE(rc::check([&fleet, troubles](std::uint32_t seed) {
            if (seed % seedsPerPlay(fleet) != 0)
                return;
            const Lateness lateness = play(fleet, troubles, seed);
            RC_ASSERT(lateness.m_arrivals > 0);
            RC_ASSERT(lateness.m_learned == 0);
            RC_ASSERT(lateness.m_requests == 0);
        }));
    }
}

} // namespace

// Guards against requests that wait for a path or a link and arrive after the upstream's leaving.
TEST_CASE("a leaving upstream gets no late request though paths fall silent and links fill")
{
    checkFleets({});
}

// Guards against such requests from VMs that go by peers' lists, or whose answers are lost.
TEST_CASE("a leaving upstream gets no late request in all troubles at once")
{
    checkFleets(allNewsTroubles());
}
