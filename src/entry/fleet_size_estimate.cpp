#include <gypsumdale/entry/fleet_size_estimate.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// Before peers were heard, the slack of the retry budget is shared with this many: more than
/// today's sites have.
constexpr std::size_t assumedFleet = 8;
constexpr Duration fleetLearningTime = std::chrono::seconds(5);
/// A registered VM that was never heard counts as one that fell silent: it is given up when such a
/// one would be.
constexpr Duration registeredKeptFor = std::chrono::seconds(20);
/// A restarted process counts on so many VMs until it has read the registry, or for this long if
/// the store doesn't answer: more than have been played, as each VM that takes the fleet for
/// smaller admits more than its part.
constexpr std::size_t unknownFleet = 100;
constexpr Duration registryReadTime = std::chrono::seconds(1);

} // namespace

bool FleetSizeEstimate::isLearning(TimePoint now) const
{
    return now < m_startedAt + fleetLearningTime;
}

/// Tells whether VMs of the registry were not heard yet and may still be there.
bool FleetSizeEstimate::isMissingRegistered(std::size_t livePeers, TimePoint now) const
{
    return livePeers + 1 < m_registered && now < m_startedAt + registeredKeptFor;
}

std::size_t FleetSizeEstimate::expected(std::size_t livePeers, std::size_t seeds,
                                        TimePoint now) const
{
    if (isMissingRegistered(livePeers, now))
        return std::max(m_registered, seeds);
    if (!isLearning(now))
        return 0;
    if (m_registered > 0)
        return std::max(m_registered, seeds);
    const bool isUnread = now < m_startedAt + registryReadTime;
    if (isUnread && !m_isFirstStart)
        return unknownFleet;
    return std::max(livePeers + 1, seeds);
}

std::size_t FleetSizeEstimate::size(std::size_t livePeers, TimePoint now) const
{
    const std::size_t known = livePeers + 1;
    if (isLearning(now))
        return std::max({known, assumedFleet, m_registered});
    return isMissingRegistered(livePeers, now) ? m_registered : known;
}

} // namespace gypsumdale
