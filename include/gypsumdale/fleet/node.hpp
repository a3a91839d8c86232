#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstdint> // int64_t, uint16_t
#include <string> // string

namespace gypsumdale {

/// Grows whenever a process of that name starts anew, or has to show that it is not dead.
using Incarnation = std::int64_t;

/// What is believed of a node's process by what is heard of it.
enum class NodeState { Alive, Suspect, Dead };

inline constexpr NameTable<NodeState, 3> nodeStateNames = {{
        {NodeState::Alive, "alive"},
        {NodeState::Suspect, "suspect"},
        {NodeState::Dead, "dead"},
}};

/// Who a node is and where its peers reach it. The incarnation is 0 until the node was heard.
struct NodeIdentity
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::string m_address;
    std::uint16_t m_port = 0;
    Incarnation m_incarnation = 0;
};

/// What this node holds of another one. Of nodes in other data centres only the summaries tell:
/// m_lastReceivedAt is then the summary's time.
struct NodeView
{
    NodeIdentity m_identity;
    NodeState m_state = NodeState::Suspect;
    /// It drains, or its VM is reclaimed. Holds for the incarnation, whatever is heard of it.
    bool m_isLeaving = false;
    TimePoint m_stateSince;
    TimePoint m_lastReceivedAt;
    std::string m_reason;

    /// Whether it is heard and here to stay, so that it may be given new work.
    bool isOpen() const { return m_state == NodeState::Alive && !m_isLeaving; }
};

/// Names a state for logs and operators: "leaving" of a node that is heard, "suspect, leaving" of
/// one that is not.
inline std::string nodeStateText(NodeState state, bool isLeaving)
{
    std::string name(nameIn(nodeStateNames, state));
    if (!isLeaving)
        return name;
    return state == NodeState::Alive ? "leaving" : name + ", leaving";
}

} // namespace gypsumdale
