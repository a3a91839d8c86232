#pragma once

#include <gypsumdale/fleet/config_message.hpp>

#include <map> // map
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// What a node knows of the other nodes of its data centre, each in its current incarnation: up to
/// which version they know the configuration, whether they answered, and when they were proved
/// gone.
class ConfigPeers
{
public:
    explicit ConfigPeers(const std::vector<NodeId> &nodes);

    bool contains(const NodeId &node) const { return m_peers.contains(node); }
    std::vector<NodeId> nodes() const;

    /// Records that a message of that incarnation arrived. Returns false if a later incarnation is
    /// already known. Always returns true for nodes of other data centres.
    bool recordIncarnation(const NodeId &node, Incarnation incarnation);
    /// Records that the node knows everything up to a version.
    void recordCompleteVersion(const NodeId &node, ConfigVersion completeTo);
    /// Records that the node, while ready, answered this incarnation.
    void recordAnswer(const NodeId &node) { m_peers[node].m_answered = true; }
    /// Records proof that no process of the node ran at some moment after `since`. Returns false if
    /// the node is not one of these peers.
    bool recordGone(const NodeId &node, TimePoint since);

    /// Returns the nodes that haven't answered.
    std::vector<NodeId> unanswered() const;
    /// Returns whether there are other nodes and all of them answered.
    bool hasEveryAnswer() const;
    /// Returns whether one of the nodes knows the version, or none of them ran after it was learned
    /// here.
    bool isSafe(ConfigVersion version, TimePoint learnedAt) const;

private:
    struct View
    {
        Incarnation m_incarnation = 0;
        ConfigVersion m_completeTo = 0;
        bool m_answered = false;
        TimePoint m_goneAfter = TimePoint::min();
    };

    std::map<NodeId, View> m_peers;
};

} // namespace gypsumdale
