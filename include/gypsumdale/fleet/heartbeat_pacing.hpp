#pragma once

#include <gypsumdale/fleet/membership_settings.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

/// Which node of a pair starts their exchanges; the other one does only if nothing comes.
enum class HeartbeatRole { Initiator, Responder };

/// How often heartbeats go out: as often as the budget for their bytes allows, for as many peers as
/// there are.
class HeartbeatPacing
{
public:
    explicit HeartbeatPacing(const MembershipSettings &settings);

    /// The size of a heartbeat as sent. Constant.
    void recordBytes(std::size_t bytes);
    /// Sets how many peers heartbeats go to, from which the interval follows.
    void setPeers(std::size_t peers);
    Duration interval() const { return m_interval; }

    /// How long after the last exchange with a node in this state the next one is due.
    Duration dueAfter(HeartbeatRole role, NodeState state) const;

private:
    Duration m_shortest;
    Duration m_longest;
    double m_bytesPerSecond;
    double m_heartbeatBytes = 150;
    Duration m_interval;
};

/// Which of the two this node is; the other one comes to the opposite result.
HeartbeatRole heartbeatRole(const NodeId &self, const NodeId &other);

} // namespace gypsumdale
