#include "support/order_world.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale::testing;

// Guards against an order that is delayed beyond the longest pause and reverts a newer one.
TEST_CASE("one orderer under faults in any order and pauses without a bound")
{
    REQUIRE(simulateOrders(OrderDelays::Unbounded));
}
