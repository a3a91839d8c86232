#pragma once

#include <gypsumdale/fleet/data_centre_summary.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// A node's word that it cannot hear another one, or holds it for dead.
struct NodeSuspicion
{
    NodeId m_node;
    Incarnation m_incarnation = 0;
    bool m_dead = false;
};

/// The membership part of a heartbeat, in either direction.
struct MembershipMessage
{
    NodeIdentity m_from;
    std::int64_t m_sequence = 0;
    bool m_draining = false;
    /// Over the names of the data centre's nodes; the lists are exchanged while they differ.
    std::int64_t m_nodesDigest = 0;
    std::optional<std::vector<NodeIdentity>> m_nodes;
    std::vector<NodeSuspicion> m_suspicions;
    std::vector<DataCentreSummary> m_summaries;
    /// Of the receiver's data centre, between data centres: the digest of the list of its nodes
    /// that the sender has.
    std::int64_t m_receiverNodesDigest = 0;
};

/// Send a heartbeat and give the answer to Membership::onReply.
struct SendHeartbeat
{
    NodeIdentity m_to;
    MembershipMessage m_content;
};

/// A node's state is another one now, or it has begun to leave: for logs, the explain history, and
/// whoever chooses nodes.
struct NodeStateChanged
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    NodeState m_state = NodeState::Suspect;
    bool m_isLeaving = false;
    std::string m_reason;
};

/// The own incarnation had to grow, since others hold the last one for dead.
struct OwnIncarnationRaised
{
    Incarnation m_incarnation = 0;
};

using MembershipCommand = std::variant<SendHeartbeat, NodeStateChanged, OwnIncarnationRaised>;
using MembershipCommands = std::vector<MembershipCommand>;

/// An entry VM of the system as the cloud's lagging list shows it.
struct ListedNode
{
    NodeIdentity m_identity;
    bool m_leaving = false;
};

} // namespace gypsumdale
