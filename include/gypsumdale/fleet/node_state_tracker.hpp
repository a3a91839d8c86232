#pragma once

#include <gypsumdale/fleet/membership_message.hpp>

#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// What a heartbeat was to one that knows the sender.
enum class HeartbeatFreshness {
    /// Older than one before, or of an incarnation that is held for dead.
    None,
    Fresh,
    /// The first one of a new incarnation.
    FromNewProcess,
};

/// What this node believes of another one, and why: its state with all that moves it.
///
/// Dead and leaving hold for an incarnation. Silence is measured in listening time, which the
/// caller gives (see ActiveTimeClock). Each change of state is one NodeStateChanged.
class NodeStateTracker
{
public:
    NodeStateTracker() = default;
    /// A node not heard yet, since the listening time given.
    NodeStateTracker(const NodeIdentity &identity, Duration activeTime, TimePoint now);

    const NodeView &view() const { return m_view; }
    const NodeIdentity &identity() const { return m_view.m_identity; }
    NodeState state() const { return m_view.m_state; }
    bool isAlive() const { return m_view.m_state == NodeState::Alive; }
    bool isLeaving() const { return m_view.m_isLeaving; }
    bool isOpen() const { return m_view.isOpen(); }
    bool isDead() const { return m_view.m_state == NodeState::Dead; }
    Duration silence(Duration activeTime) const { return activeTime - m_heardAt; }
    /// When a heartbeat of it last arrived.
    TimePoint lastExchange() const { return m_lastExchange; }

    /// Takes in the sender's own part of a heartbeat.
    HeartbeatFreshness recordHeartbeat(const MembershipMessage &message, Duration activeTime,
                                       TimePoint now, MembershipCommands &commands);
    /// Its data centre's summary names it so; true if it is a new process.
    bool recordSummaryEntry(const NodeIdentity &identity, Duration activeTime, TimePoint now,
                            MembershipCommands &commands);

    /// Tells whether this node cannot hear `other` in its incarnation, by its last heartbeat.
    bool suspects(const NodeIdentity &other) const;

    /// Whether the cloud's last list shows it.
    void setListed(bool isListed);
    bool isListed() const { return m_isListed; }
    /// Its VM goes. Nothing if it is dead already.
    void leave(std::string reason, TimePoint now, MembershipCommands &commands);

    /// What silence alone changes for a node of the own data centre; `suspectAfter` is the silence
    /// that makes a suspect.
    void detectSilence(Duration suspectAfter, Duration activeTime, TimePoint now,
                       MembershipCommands &commands);
    /// The same for one of another data centre, whose summaries fail to come.
    void detectRemoteSilence(Duration suspectAfter, Duration activeTime, TimePoint now,
                             MembershipCommands &commands);
    /// Another node cannot hear it either.
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
    /// In listening time.
    Duration m_heardAt{};
    TimePoint m_lastExchange;
    std::vector<NodeSuspicion> m_suspicions;
    /// Listed by the cloud once, and by its last list.
    bool m_wasListed = false;
    bool m_isListed = false;
};

} // namespace gypsumdale
