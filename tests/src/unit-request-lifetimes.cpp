#include <gypsumdale/serving/request_lifetimes.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a percentile of requests that have all ended is that of their lifetimes")
{
    RequestLifetimes lifetimes;
    CHECK(lifetimes.percentile(0.9) == Duration::zero());
    CHECK(lifetimes.longest() == Duration::zero());
    for (int number = 10; number >= 1; --number)
        lifetimes.addEnded({}, milliseconds(100 * number));
    CHECK(lifetimes.percentile(0.5) == milliseconds(500));
    CHECK(lifetimes.percentile(0.9) == milliseconds(900));
    CHECK(lifetimes.longest() == milliseconds(1000));
}

// Guards against taking requests for short whose end has not been seen.
TEST_CASE("requests under way raise the percentile by their age")
{
    RequestLifetimes lifetimes;
    for (int number = 0; number < 6; ++number)
        lifetimes.addEnded({}, seconds(1));
    for (int number = 0; number < 6; ++number)
        lifetimes.addUnderWay({}, seconds(3));
    CHECK(lifetimes.percentile(0.5) == seconds(1));
    CHECK(lifetimes.percentile(0.9) == seconds(3));
    for (int number = 0; number < 6; ++number)
        lifetimes.addUnderWay({}, milliseconds(500));
    CHECK(lifetimes.percentile(0.5) == seconds(1));
}

// Guards against long requests of earlier times that count as if many like them had arrived lately.
TEST_CASE("a request that began before the observation counts from its age then")
{
    RequestLifetimes lifetimes;
    for (int number = 0; number < 20; ++number)
        lifetimes.addEnded({}, seconds(1));
    for (int number = 0; number < 20; ++number)
        lifetimes.addEnded(seconds(4), seconds(5));
    CHECK(lifetimes.percentile(0.9) == seconds(1));
    CHECK(lifetimes.longest() == seconds(5));
}

// Guards against a forecast from the end of the only young request among many older ones.
TEST_CASE("an end among few observed requests is ignored")
{
    RequestLifetimes lifetimes;
    lifetimes.addEnded({}, milliseconds(100));
    for (int number = 0; number < 20; ++number)
        lifetimes.addEnded(seconds(2), seconds(5));
    CHECK(lifetimes.percentile(0.9) == seconds(5));
}
