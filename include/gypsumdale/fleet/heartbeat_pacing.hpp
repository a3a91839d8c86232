#pragma once

#include <gypsumdale/fleet/membership_settings.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

/// Which node of a pair starts their exchanges; the other one does so only if no heartbeat arrives.
enum class HeartbeatRole { Initiator, Responder };

/// Computes the interval of heartbeats: the shortest one that the byte budget allows for the
/// current number of peers.
class HeartbeatPacing
{
public:
    explicit HeartbeatPacing(const MembershipSettings &settings);

    /// Records the size of a sent heartbeat, in bytes. Complexity: constant.
    void recordBytes(std::size_t bytes);
    /// Sets the number of peers that receive heartbeats, and updates the interval accordingly.
    void setPeers(std::size_t peers);
    Duration interval() const { return m_interval; }

    /// Returns the time after the last exchange with a node in this state at which the next one is
    /// due.
    Duration dueAfter(HeartbeatRole role, NodeState state) const;

private:
    Duration m_minInterval;
    Duration m_maxInterval;
    double m_bytesPerSecond;
    double m_heartbeatBytes = 150;
    Duration m_interval;
};

/// Returns the role of this node; the other node computes the opposite one.
HeartbeatRole heartbeatRole(const NodeId &self, const NodeId &other);

} // namespace gypsumdale
