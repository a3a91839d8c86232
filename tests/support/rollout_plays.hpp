#pragma once

#include <support/rollout_simulation.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t

/// Plays of roll-outs, by the size of the fleet and a seed.
namespace gypsumdale::test {

inline RolloutPlay fleetOf(std::size_t vms)
{
    RolloutPlay play;
    play.m_vms = vms;
    play.m_rate = vms < 10 ? 60 : (vms < 100 ? 700 : 2000);
    play.m_upstreams = vms < 10 ? 7 : 72;
    return play;
}

inline void addTroubles(RolloutPlay &play, std::uint64_t seed)
{
    play.m_hasKills = seed % 2 == 0;
    play.m_hasCuts = seed % 3 == 0;
    play.m_hasGreyUpstreams = seed % 5 == 0;
    play.m_hasLeaderKills = seed % 4 == 1;
    play.m_hasStoreOutage = seed % 7 == 3;
    play.m_losesAllVms = seed % 11 == 6;
    play.m_baseErrors = seed % 3 == 0 ? 0.03 : 0.01;
}

} // namespace gypsumdale::test
