#pragma once

#include <gypsumdale/core/clock.hpp>

#include <chrono> // seconds
#include <cstddef> // size_t

namespace gypsumdale::testing {

/// Size of a simulated fleet, and its requests.
struct RelayFleet
{
    std::size_t m_vms = 6;
    std::size_t m_dataCentres = 3;
    std::size_t m_engines = 9;
    std::size_t m_plain = 3;
    double m_requestsPerSecond = 10;
    /// Time after the beginning of a cut from which it is judged.
    Duration m_contact = std::chrono::seconds(3);
};

/// What may happen beside VMs that are cut off from all upstreams.
struct RelayFaults
{
    bool m_hasDeadUpstreams = false;
    bool m_hasKilledVms = false;
    /// Further cuts from one service, or from most upstreams.
    bool m_hasPartialCuts = false;
    /// No VM is cut off from all upstreams.
    bool m_hasNoCuts = false;
    /// Part of each service's upstreams that refuses connections at the same time, twice for
    /// seconds.
    double m_deadAtOnce = 0;
};

/// First tries while VMs were cut off from all upstreams.
struct CutVerdict
{
    int m_sentAtCut = 0;
    int m_servedAtCut = 0;
    int m_sentAtOthers = 0;
    int m_servedAtOthers = 0;

    /// Returns whether first tries at the cut-off VMs were served less than two thirds as often as
    /// at the others, and more of them failed than users accept.
    bool isBroken() const
    {
        if (m_sentAtCut == 0 || m_sentAtOthers == 0)
            return false;
        const double atCut = static_cast<double>(m_servedAtCut) / m_sentAtCut;
        const double atOthers = static_cast<double>(m_servedAtOthers) / m_sentAtOthers;
        const int tolerated = 10 + (m_sentAtCut + m_sentAtOthers) / 50;
        return 3 * atCut < 2 * atOthers && m_sentAtCut - m_servedAtCut > tolerated;
    }
};

/// What happened at VMs that had a path to most upstreams.
struct SoundVmVerdict
{
    int m_sent = 0;
    int m_failed = 0;
    /// Times that such a VM came to believe that it was cut off.
    int m_falseCutOffs = 0;
};

inline constexpr RelayFleet smallRelayFleet{};
inline constexpr RelayFleet idleRelayFleet{6, 3, 9, 3, 1.5, std::chrono::seconds(3)};
inline constexpr RelayFleet grownRelayFleet{65, 3, 60, 3, 15, std::chrono::seconds(4)};
inline constexpr RelayFleet largeRelayFleet{195, 5, 62, 6, 4.5, std::chrono::seconds(5)};

} // namespace gypsumdale::testing
