#pragma once

#include <cstddef> // size_t

namespace gypsumdale {

/// Lowest and highest limit that is applied, in requests per second. Below the lowest one nobody
/// would ever learn that the limit has ended.
inline constexpr double minRateLimit = 0.1;
inline constexpr double maxRateLimit = 1e6;

/// The part of an upstream's request rate that one VM uses.
struct RateShare
{
    double m_perSecond = 0;
    /// Most requests at once; at least one, also where the rate is less.
    double m_burst = 1;
};

/// What a VM knows of the others among which an upstream's rate is divided.
struct RateShareView
{
    /// Requests per second that the upstream takes from all VMs.
    double m_limit = 0;
    /// VMs of the fleet, this one included, counted as many as there may be.
    std::size_t m_vms = 1;
    /// Those whose names this VM knows, its own included.
    std::size_t m_knownVms = 1;
};

/// Returns among how many of the known VMs an upstream's rate is divided. Each of them may send a
/// request at once, so with a low limit only a few do: together they stay within the bursts that
/// the upstream bears. Complexity: constant.
std::size_t rateLimitHolders(const RateShareView &view);

/// Returns the part of a VM that is one of the holders.
///
/// Load: any number of VMs and any rate of each. The parts of all VMs add up to the limit if they
/// agree on their names; where each knows only some of the others, as after a start or in a
/// partition, to as much of it as those that each knows are of the fleet. Complexity: constant.
RateShare holderShare(const RateShareView &view);

/// Returns the part of a VM that is no holder, and hears nothing of an upstream for so long that
/// nobody may be using it. Complexity: constant.
RateShare unheardShare(const RateShareView &view);

} // namespace gypsumdale
