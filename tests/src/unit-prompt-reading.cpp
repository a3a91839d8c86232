#include <gypsumdale/serving/prompt_reading.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceId llm("llm");

/// Notes prompts of 6,200 tokens that an engine of 62,000 a second reads.
void readAlone(PromptReading &reading, int times)
{
    for (int time = 0; time < times; ++time)
        reading.noteAlone(6200, 100ms);
}

} // namespace

TEST_CASE("the speed of an engine")
{
    PromptReading reading;

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
            reading.noteAlone(6200, 900ms);
        CHECK(reading.rate(start).m_speed == Approx(62000));
    }
    SECTION("is not taken from short prompts, which wait for the way and a step")
    {
        readAlone(reading, 4);
        for (int time = 0; time < 30; ++time)
            reading.noteAlone(100, 12ms);
        CHECK(reading.rate(start).m_speed == Approx(62000));
    }
    SECTION("follows engines that became slower")
    {
        readAlone(reading, 40);
        for (int time = 0; time < 40; ++time)
            reading.noteAlone(6200, 300ms);
        CHECK(reading.rate(start).m_speed == Approx(6200 / 0.3));
    }
}

TEST_CASE("what the fleet is asked to read")
{
    FleetReading fleet;
    fleet.own(llm).notePlaced(40000, start);
    fleet.setPeer("b", {{llm, {5000, 50000}}});
    fleet.setPeer("c", {{llm, {7000, 60000}}});
    const ReadingRate rate = fleet.fleetRates(start + 1s).at(llm);
    CHECK(rate.m_demand == Approx(22000));
    CHECK(rate.m_speed == Approx(50000));

    SECTION("ends with the VM that asked")
    {
        fleet.forgetPeer("b");
        fleet.forgetPeer("c");
        CHECK(fleet.fleetRates(start + 10s).at(llm).m_demand == 0);
        CHECK(fleet.fleetRates(start + 10s).at(llm).m_speed == 0);
    }
}
