#include <gypsumdale/fleet/heartbeat_pacing.hpp>

#include <xxhash.h>

#include <algorithm> // clamp
#include <chrono> // duration_cast
#include <string> // string

namespace gypsumdale {

namespace {

/// Factor for the interval of heartbeats to dead nodes, which continue so that the end of a
/// partition is noticed.
constexpr int deadIntervalFactor = 10;
/// Number of intervals without a heartbeat after which the second node of a pair starts an
/// exchange.
constexpr double responderIntervalFactor = 1.5;
/// Weight of the newest heartbeat in the moving average of sizes.
constexpr double sizeWeight = 0.05;

} // namespace

HeartbeatPacing::HeartbeatPacing(const MembershipSettings &settings)
    : m_minInterval(settings.m_heartbeatInterval)
    , m_maxInterval(settings.m_longestInterval)
    , m_bytesPerSecond(settings.m_bytesPerSecond)
    , m_interval(settings.m_heartbeatInterval)
{}

void HeartbeatPacing::recordBytes(std::size_t bytes)
{
    m_heartbeatBytes += sizeWeight * (static_cast<double>(bytes) - m_heartbeatBytes);
}

void HeartbeatPacing::setPeers(std::size_t peers)
{
    // An exchange with each peer is one heartbeat sent and one received.
    const double bytes = 2 * m_heartbeatBytes * static_cast<double>(peers);
    const std::chrono::duration<double> affordable(bytes / m_bytesPerSecond);
    const auto wanted = std::chrono::duration_cast<Duration>(affordable);
    m_interval = std::clamp(wanted, m_minInterval, m_maxInterval);
}

Duration HeartbeatPacing::dueAfter(HeartbeatRole role, NodeState state) const
{
    if (state == NodeState::Dead)
        return m_interval * deadIntervalFactor;
    if (role == HeartbeatRole::Responder)
        return std::chrono::duration_cast<Duration>(m_interval * responderIntervalFactor);
    return m_interval;
}

HeartbeatRole heartbeatRole(const NodeId &self, const NodeId &other)
{
    const bool isFirst = self < other;
    const std::string pair =
            isFirst ? self.text() + "|" + other.text() : other.text() + "|" + self.text();
    const bool firstStarts = (XXH3_64bits_withSeed(pair.data(), pair.size(), 0) & 1U) == 1;
    return firstStarts == isFirst ? HeartbeatRole::Initiator : HeartbeatRole::Responder;
}

} // namespace gypsumdale
