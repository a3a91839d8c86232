#include "support/stream_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint> // uint32_t

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

constexpr StreamFaults allFaults{true, true, true};

bool goOn(std::uint32_t seed)
{
    const StreamVerdict verdict = StreamSimulation(StreamFleet(), allFaults, seed).play();
    CAPTURE(verdict.m_begun, verdict.m_sent, verdict.m_goneOn, verdict.m_takenUp);
    CHECK_FALSE(verdict.isLost());
    return !verdict.isLost();
}

} // namespace

// Guards against streams that can't be taken up once the VM that began them, cut off from its
// peers, is killed.
TEST_CASE("streams that are taken up go on beside all faults at once")
{
    for (const std::uint32_t seed : {13, 70, 193, 215, 245, 457}) {
        CAPTURE(seed);
        CHECK(goOn(seed));
    }
    REQUIRE(rc::check([](std::uint32_t seed) { RC_ASSERT(goOn(seed)); }));
}
