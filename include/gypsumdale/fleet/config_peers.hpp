#pragma once

#include <gypsumdale/fleet/config_message.hpp>

#include <map> // map
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// What a node knows of the other nodes of its data centre, each in its present life: up to which
/// version they know the configuration, whether they answered, and when they were proved gone.
class ConfigPeers
{
public:
    explicit ConfigPeers(const std::vector<NodeId> &nodes);

    bool contains(const NodeId &node) const { return m_peers.contains(node); }
    std::vector<NodeId> nodes() const;

    /// A message of that life arrived; false if a later life was heard already. Nodes of other data
    /// centres pass.
    bool recordIncarnation(const NodeId &node, Incarnation incarnation);
    /// The node knows all up to a version.
    void recordCompleteVersion(const NodeId &node, ConfigVersion completeTo);
    /// It answered this life while ready itself.
    void recordAnswer(const NodeId &node) { m_peers[node].m_answered = true; }
    /// It was proved after this time that no process of it ran; false if it is none of them.
    bool recordGone(const NodeId &node, TimePoint since);

    /// Those that haven't answered.
    std::vector<NodeId> unanswered() const;
    /// Tells whether there are others, and all of them answered.
    bool hasEveryAnswer() const;
    /// Whether one of them knows a version, or none ran after it was learned here.
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
