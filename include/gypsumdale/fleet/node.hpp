#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstdint> // int64_t, uint16_t
#include <string> // string

namespace gypsumdale {

/// Increases whenever a process of that name starts, or has to show that it is not dead.
using Incarnation = std::int64_t;

/// State of a node's process as concluded from its messages.
enum class NodeState { Alive, Suspect, Dead };

inline constexpr NameTable<NodeState, 3> nodeStateNames = {{
        {NodeState::Alive, "alive"},
        {NodeState::Suspect, "suspect"},
        {NodeState::Dead, "dead"},
}};

/// Identity of a node and the address at which its peers reach it. The incarnation is 0 until a
/// message of the node arrived.
struct NodeIdentity
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::string m_address;
    std::uint16_t m_port = 0;
    Incarnation m_incarnation = 0;
};

/// What this node knows of another one. Nodes in other data centres are known from summaries only:
/// m_lastReceivedAt is then the time of the summary.
struct NodeView
{
    NodeIdentity m_identity;
    NodeState m_state = NodeState::Suspect;
    /// The node drains, or its VM is reclaimed. Permanent for the incarnation, whatever else is
    /// received from it.
    bool m_isLeaving = false;
    TimePoint m_stateSince;
    TimePoint m_lastReceivedAt;
    std::string m_reason;

    /// Returns whether the node is alive and not leaving, so that it may get new work.
    bool isOpen() const { return m_state == NodeState::Alive && !m_isLeaving; }
};

/// Returns the name of a state for logs and operators: "leaving" for an alive node, "suspect,
/// leaving" for a suspect one.
inline std::string nodeStateText(NodeState state, bool isLeaving)
{
    std::string name(enumName(nodeStateNames, state));
    if (!isLeaving)
        return name;
    return state == NodeState::Alive ? "leaving" : name + ", leaving";
}

} // namespace gypsumdale
