#include "support/scarcity_simulation.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::testing::scarcity;

// Guards against a fleet with more VMs than slots, each with a window of one request, in which the
// accounts that send most are served beyond their share.
TEST_CASE("the requests of 480 VMs that share 288 slots")
{
    Play input;
    input.m_vms = 480;
    input.m_accounts = 6;
    input.m_reportInterval = 2s;
    input.m_seed = 106;
    const Outcome outcome = play(input);
    CHECK(outcome.m_worstShare <= 0.1);
    CHECK(outcome.m_urgentInTime >= 0.8);
    CHECK(outcome.m_leastServed >= 0.25);
    CHECK(outcome.m_idleWaits == 0);
    CHECK(outcome.m_earlyRejections == 0);
    CHECK(outcome.m_use >= 0.95);
    CHECK(outcome.m_longestWait <= 1s);
}
