#include <gypsumdale/serving/prefill_estimator.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId llm("llm");

/// Records prompts of 6,200 tokens that an engine with 62,000 per second reads.
void readAlone(PrefillEstimator &reading, int times)
{
    for (int time = 0; time < times; ++time)
        reading.recordUncontended(6200, 100ms);
}

} // namespace

TEST_CASE("the speed of an engine")
{
    PrefillEstimator reading;

    SECTION("is not known from a few requests")
    {
        readAlone(reading, 3);
        CHECK(reading.rate(start).m_speed == 0);
        readAlone(reading, 1);
        CHECK(reading.rate(start).m_speed == Approx(62000));
    }
    SECTION("is not taken from prompts that were read beside others unseen")
    {
        readAlone(reading, 20);
        for (int time = 0; time < 10; ++time)
            reading.recordUncontended(6200, 900ms);
        CHECK(reading.rate(start).m_speed == Approx(62000));
    }
    SECTION("is not taken from short prompts, which wait for the way and a step")
    {
        readAlone(reading, 4);
        for (int time = 0; time < 30; ++time)
            reading.recordUncontended(100, 12ms);
        CHECK(reading.rate(start).m_speed == Approx(62000));
    }
    SECTION("is not lowered by the part of a wait that all prompts have")
    {
        // Engines that read 150,000 tokens per second answer an empty prompt after 30 ms. For
        // prompts of some thousand tokens the estimate is 86,000 per second if the whole delay
        // counts as prefill, and twice as many engines as needed are ordered.
        for (int time = 0; time < 4; ++time) {
            for (const int tokens : {750, 1500, 3000, 6000, 12000})
                reading.recordUncontended(tokens,
                                          30ms + std::chrono::microseconds(tokens * 1000 / 150));
        }
        CHECK(reading.rate(start).m_speed == Approx(150000).epsilon(0.02));
    }
    SECTION("is not raised by a short prompt that waited for a busy core")
    {
        // On VMs with an eighth of a core, delays vary by as much as a prefill takes: some short
        // prompts took as long as long ones.
        for (int time = 0; time < 5; ++time) {
            reading.recordUncontended(1000, time < 2 ? 110ms : 40ms);
            reading.recordUncontended(1500, 45ms);
            reading.recordUncontended(6000, time < 2 ? 200ms : 74ms);
            reading.recordUncontended(12000, 115ms);
        }
        CHECK(reading.rate(start).m_speed > 120000);
        CHECK(reading.rate(start).m_speed < 160000);
    }
    SECTION("follows engines that became slower")
    {
        readAlone(reading, 40);
        for (int time = 0; time < 40; ++time)
            reading.recordUncontended(6200, 300ms);
        CHECK(reading.rate(start).m_speed == Approx(6200 / 0.3));
    }
}

TEST_CASE("what the fleet is asked to read")
{
    FleetPrefillRates fleet;
    fleet.own(llm).recordPlacement(40000, start);
    fleet.setPeer("b", {{llm, {5000, 50000}}});
    fleet.setPeer("c", {{llm, {7000, 60000}}});
    const PrefillRate rate = fleet.fleetRates(start + 1s).at(llm);
    CHECK(rate.m_demand == Approx(22000));
    CHECK(rate.m_speed == Approx(50000));

    SECTION("ends with the VM that asked")
    {
        fleet.removePeer("b");
        fleet.removePeer("c");
        CHECK(fleet.fleetRates(start + 10s).at(llm).m_demand == 0);
        CHECK(fleet.fleetRates(start + 10s).at(llm).m_speed == 0);
    }
}
