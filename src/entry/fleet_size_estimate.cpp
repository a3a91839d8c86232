#include <gypsumdale/entry/fleet_size_estimate.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// Until messages from peers are received, the slack of the retry budget is shared with at least
/// this many VMs: more than today's sites have.
constexpr std::size_t assumedFleetSize = 8;
constexpr Duration fleetLearningTime = std::chrono::seconds(5);
/// A registered VM that never sent a message is treated like one that became silent, and is dropped
/// after the same time.
constexpr Duration registeredTimeout = std::chrono::seconds(20);
/// A restarted process assumes the largest fleet until it has read the registry or was told its
/// size, or for registryReadTime if neither happens.
constexpr Duration registryReadTime = std::chrono::seconds(1);
/// More VMs than any fleet has: a VM that assumes a smaller fleet than its own uses more than its
/// share.
constexpr std::size_t largestFleetSize = 500;

} // namespace

bool FleetSizeEstimate::isLearning(TimePoint now) const
{
    return now < m_startedAt + fleetLearningTime;
}

/// Returns whether registered VMs have sent no message yet and may still exist.
bool FleetSizeEstimate::hasMissingVms(std::size_t livePeers, TimePoint now) const
{
    return livePeers + 1 < m_registeredVms && now < m_startedAt + registeredTimeout;
}

std::size_t FleetSizeEstimate::expected(std::size_t livePeers, std::size_t seeds,
                                        TimePoint now) const
{
    if (hasMissingVms(livePeers, now))
        return std::max(m_registeredVms, seeds);
    if (!isLearning(now))
        return 0;
    if (numberToTell() > 0)
        return std::max({numberToTell(), livePeers + 1, seeds});
    const bool isUnread = now < m_startedAt + registryReadTime;
    if (isUnread && !m_isFirstStart)
        return largestFleetSize;
    return std::max(livePeers + 1, seeds);
}

std::size_t FleetSizeEstimate::size(std::size_t livePeers, TimePoint now) const
{
    const std::size_t known = std::max(livePeers + 1, m_registeredVms);
    return isLearning(now) ? std::max(known, assumedFleetSize) : known;
}

std::size_t FleetSizeEstimate::quotaSize(std::size_t livePeers, TimePoint now) const
{
    const std::size_t known = std::max(size(livePeers, now), numberToTell());
    return isKnown(now) ? known : std::max(known, largestFleetSize);
}

} // namespace gypsumdale
