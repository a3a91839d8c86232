#pragma once

#include <gypsumdale/fleet/data_centre_summary.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// A node's report that it receives nothing from another one, or counts it as dead.
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
    /// Digest over the data centre's nodes; the lists are exchanged while the digests differ.
    std::int64_t m_nodesDigest = 0;
    std::optional<std::vector<NodeIdentity>> m_nodes;
    std::vector<NodeSuspicion> m_suspicions;
    std::vector<DataCentreSummary> m_summaries;
    /// Digest of the list of the receiver's data centre that the sender has; between data centres
    /// only.
    std::int64_t m_receiverNodesDigest = 0;
};

/// Sends a heartbeat; its answer is passed to Membership::onReply.
struct SendHeartbeat
{
    NodeIdentity m_to;
    MembershipMessage m_content;
};

/// Reports that a node changed its state or started leaving: for logs, the explain history, and
/// components that select nodes.
struct NodeStateChanged
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    NodeState m_state = NodeState::Suspect;
    bool m_isLeaving = false;
    std::string m_reason;
};

/// Reports that the own incarnation was raised, since others count the last one as dead.
struct OwnIncarnationRaised
{
    Incarnation m_incarnation = 0;
};

using MembershipCommand = std::variant<SendHeartbeat, NodeStateChanged, OwnIncarnationRaised>;
using MembershipCommands = std::vector<MembershipCommand>;

/// An entry VM of the system as shown in the cloud's list, which lags.
struct ListedNode
{
    NodeIdentity m_identity;
    bool m_leaving = false;
};

} // namespace gypsumdale
