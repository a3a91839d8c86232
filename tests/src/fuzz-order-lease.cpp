#include "support/order_world.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale::testing;

TEST_CASE("one orderer under faults in any order")
{
    const auto orders = playOrders(HoldUps::Bounded);
    REQUIRE(orders);
    // The faults must leave enough that works for the engine to judge.
    CHECK(*orders > 1000);
    OrderWorld undisturbed(HoldUps::Bounded);
    undisturbed.heal();
    CHECK(undisturbed.isConverged());
}
