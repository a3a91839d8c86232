#include "support/request_delivery_checks.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale::testing;

// Guards against requests that wait for a network path or a link and arrive after the upstream has
// left.
TEST_CASE("a leaving upstream gets no late request though paths fall silent and links fill")
{
    checkDelivery({});
}
