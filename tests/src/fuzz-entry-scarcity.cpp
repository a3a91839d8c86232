#include "support/scarcity_simulation.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib> // atoi, getenv

using namespace gypsumdale;
using namespace gypsumdale::testing::scarcity;

TEST_CASE("trial")
{
    for (int mode = std::atoi(std::getenv("FROM")); mode < std::atoi(std::getenv("TO")); ++mode) {
        Play input;
        input.m_vms = mode % 2 ? 6 : 77;
        input.m_isPartitioned = mode % 3 == 1;
        input.m_hasKills = mode % 3 == 2;
        input.m_reportInterval = 2s;
        if (mode % 7 == 6) {
            input.m_vms = 480;
            input.m_accounts = 6;
        }
        input.m_seed = mode + 100;
        const Outcome out = play(input);
        fmt::print("vms {} part {} kill {} worst {:.3f} urgent {:.3f} least {:.3f} use {:.3f} idle {} early {} wait {}\n", input.m_vms,
                   input.m_isPartitioned, input.m_hasKills, out.m_worstShare, out.m_urgentInTime, out.m_leastServed, out.m_use,
                   out.m_idleWaits, out.m_earlyRejections, toMillis(out.m_longestWait));
    }
}
