#pragma once

#include <gypsumdale/fleet/membership_message.hpp>

#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// How a heartbeat relates to those already received from its sender.
enum class HeartbeatFreshness {
    /// Older than an earlier one, or from an incarnation that is dead.
    None,
    Fresh,
    /// The first one of a new incarnation.
    FromNewProcess,
};

/// Tracks the state of another node with everything that changes it.
///
/// Dead and leaving are permanent for an incarnation. Silence is measured in the running time of
/// this process, which the caller passes in (see ActiveTimeClock). Each state change results in one
/// NodeStateChanged.
class NodeStateTracker
{
public:
    NodeStateTracker() = default;
    /// Creates the state of a node of which no message has arrived. `listened` is the current
    /// running time.
    NodeStateTracker(const NodeIdentity &identity, Duration activeTime, TimePoint now);

    const NodeView &view() const { return m_view; }
    const NodeIdentity &identity() const { return m_view.m_identity; }
    NodeState state() const { return m_view.m_state; }
    bool isAlive() const { return m_view.m_state == NodeState::Alive; }
    bool isLeaving() const { return m_view.m_isLeaving; }
    bool isOpen() const { return m_view.isOpen(); }
    bool isDead() const { return m_view.m_state == NodeState::Dead; }
    Duration silence(Duration activeTime) const { return activeTime - m_receivedAt; }
    /// Returns the time at which its last heartbeat arrived.
    TimePoint lastExchange() const { return m_lastExchange; }

    /// Applies the sender's own part of a heartbeat.
    HeartbeatFreshness recordHeartbeat(const MembershipMessage &message, Duration activeTime,
                                       TimePoint now, MembershipCommands &commands);
    /// Applies the node's entry in a summary of its data centre. Returns whether it is a new
    /// process.
    bool recordSummaryEntry(const NodeIdentity &identity, Duration activeTime, TimePoint now,
                            MembershipCommands &commands);

    /// Returns whether this node's last heartbeat reported that it receives nothing from `other` in
    /// its incarnation.
    bool suspects(const NodeIdentity &other) const;

    /// Sets whether the cloud's last list shows the node.
    void setListed(bool isListed);
    bool isListed() const { return m_isListed; }
    /// Marks the node as leaving, as its VM is going away. Does nothing if the node is dead.
    void leave(std::string reason, TimePoint now, MembershipCommands &commands);

    /// Updates the state of a node of the own data centre by its silence; a silence of
    /// `suspectAfter` makes it suspect.
    void detectSilence(Duration suspectAfter, Duration activeTime, TimePoint now,
                       MembershipCommands &commands);
    /// Updates the state of a node of another data centre, whose summaries don't arrive.
    void detectRemoteSilence(Duration suspectAfter, Duration activeTime, TimePoint now,
                             MembershipCommands &commands);
    /// Marks the node as dead, as `witness` receives nothing from it either.
    void confirmDead(const NodeId &witness, Duration activeTime, TimePoint now,
                     MembershipCommands &commands);

private:
    void setState(NodeState state, std::string reason, TimePoint now, MembershipCommands &commands);
    void set(NodeState state, bool isLeaving, std::string reason, TimePoint now,
             MembershipCommands &commands);
    bool staysLeaving(bool isNewProcess) const;
    bool isUnlisted() const { return m_wasListed && !m_isListed; }

    NodeView m_view;
    std::int64_t m_sequence = 0;
    /// Running time of this process at the last sign of life.
    Duration m_receivedAt{};
    TimePoint m_lastExchange;
    std::vector<NodeSuspicion> m_suspicions;
    /// Whether the cloud's list has ever shown the node, and whether its last one does.
    bool m_wasListed = false;
    bool m_isListed = false;
};

} // namespace gypsumdale
