#include "support/scarcity_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace gypsumdale;
using namespace gypsumdale::testing::scarcity;

namespace {

/// Plays that end within 20 s on a busy machine.
constexpr int maxPlays = 5;

} // namespace

// Guards against a shortage in which the first to arrive, the account that sends most, or one class
// takes the slots of all others. Without the gates (every request placed at once) the first check
// fails.
TEST_CASE("the requests of a fleet that is short of slots")
{
    int plays = 0;
    rc::prop("are served by fair shares, urgent ones in time", [&plays] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const int trouble = *rc::gen::inRange(0, 3);
        if (++plays > maxPlays)
            return;
        Play input;
        input.m_vms = plays % 2 == 1 ? 77 : 6;
        input.m_reportInterval = 2s;
        input.m_isPartitioned = trouble == 1;
        input.m_hasKills = trouble == 2;
        input.m_seed = seed;
        const Outcome outcome = play(input);
        RC_LOG() << "seed " << seed << ", " << input.m_vms << " VMs, trouble " << trouble
                 << ": share off by " << outcome.m_worstShare << ", urgent in time "
                 << outcome.m_urgentInTime << ", least served " << outcome.m_leastServed
                 << ", slots in use " << outcome.m_use << '\n';
        RC_ASSERT(outcome.m_worstShare <= 0.1);
        RC_ASSERT(outcome.m_urgentInTime >= 0.8);
        RC_ASSERT(outcome.m_leastServed >= 0.25);
        RC_ASSERT(outcome.m_idleWaits == 0);
        RC_ASSERT(outcome.m_earlyRejections == 0);
        // What is rejected couldn't have begun: the slots are in use.
        RC_ASSERT(outcome.m_use >= 0.95);
        RC_ASSERT(outcome.m_longestWait <= 1s);
    });
}
