#include "support/order_world.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale::testing;

TEST_CASE("one orderer under faults in any order")
{
    const auto orders = simulateOrders(OrderDelays::Bounded);
    REQUIRE(orders);
    // Enough orders must succeed despite the faults to make the check by the engine meaningful.
    CHECK(*orders > 1000);
    OrderWorld undisturbed(OrderDelays::Bounded);
    undisturbed.heal();
    CHECK(undisturbed.isConverged());
}
