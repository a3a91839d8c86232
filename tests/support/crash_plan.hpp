#pragma once

#include <gypsumdale/core/clock.hpp>

#include <chrono> // seconds
#include <cstddef> // size_t

namespace gypsumdale::testing {

/// Size of a simulated fleet, and its requests.
struct CrashFleet
{
    std::size_t m_vms = 6;
    std::size_t m_upstreams = 12;
    double m_requestsPerSecond = 25;
    Duration m_length = std::chrono::seconds(60);
};

/// What may happen.
struct CrashFaults
{
    /// Number of requests that crash each upstream which begins to answer them. Their clients
    /// repeat them.
    std::size_t m_lethalRequests = 0;
    /// Number of parts of prompts that do. No two requests with them are alike.
    std::size_t m_lethalParts = 0;
    /// Another part is always sent beside each lethal one, and also in sound requests.
    bool m_hasSiblings = false;
    /// Upstreams that crash by themselves, together or one after the other.
    bool m_hasWaves = false;
    /// VMs whose paths to all upstreams are reset and refused for seconds.
    bool m_hasCutPaths = false;
    bool m_hasKilledVms = false;
    /// VMs that reach no other VM for seconds.
    bool m_hasPartedVms = false;
    /// Requests are tried at upstreams that refuse them without a limit.
    bool m_triesWithoutLimit = false;
    /// Runs that delivered something prove nothing.
    bool m_ignoresProofs = false;
    /// Nothing is ever found to be the cause of ends.
    bool m_findsNothing = false;
};

/// What became of the requests.
struct CrashVerdict
{
    /// Sound requests that were rejected as if they crashed their upstreams.
    int m_wronglyRejected = 0;
    /// Most upstreams that ended under one request or part.
    int m_mostEnds = 0;
    /// The same, until some seconds after the last one that is tolerated.
    int m_mostEndsAtFirst = 0;
    /// Most arrivals at upstreams of requests with one cause, later than the bound after it had
    /// ended as many as are tolerated.
    int m_mostLateArrivals = 0;
    int m_sent = 0;
    int m_served = 0;
};

inline constexpr CrashFleet smallCrashFleet{};
inline constexpr CrashFleet busyCrashFleet{6, 9, 120, std::chrono::seconds(30)};
inline constexpr CrashFleet grownCrashFleet{65, 60, 150, std::chrono::seconds(30)};
inline constexpr CrashFleet hugeCrashFleet{480, 400, 400, std::chrono::seconds(20)};

} // namespace gypsumdale::testing
