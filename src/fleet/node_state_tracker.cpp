#include <gypsumdale/fleet/node_state_tracker.hpp>

#include <fmt/format.h>

#include <algorithm> // any_of
#include <utility> // move

namespace gypsumdale {

namespace {

std::string silentFor(Duration silence)
{
    return fmt::format("silent for {:.0f} ms", toMillis(silence));
}

} // namespace

NodeStateTracker::NodeStateTracker(const NodeIdentity &identity, Duration activeTime, TimePoint now)
    : m_receivedAt(activeTime)
{
    m_view.m_identity = identity;
    // The incarnation is known only from a node's own heartbeat or its data centre's summary.
    m_view.m_identity.m_incarnation = 0;
    m_view.m_stateSince = now;
    m_view.m_reason = "no message received yet";
}

void NodeStateTracker::setState(NodeState state, std::string reason, TimePoint now,
                                MembershipCommands &commands)
{
    set(state, m_view.m_isLeaving, std::move(reason), now, commands);
}

void NodeStateTracker::set(NodeState state, bool isLeaving, std::string reason, TimePoint now,
                           MembershipCommands &commands)
{
    if (m_view.m_state == state && m_view.m_isLeaving == isLeaving)
        return;
    m_view.m_state = state;
    m_view.m_isLeaving = isLeaving;
    m_view.m_stateSince = now;
    m_view.m_reason = std::move(reason);
    const NodeIdentity &identity = m_view.m_identity;
    commands.push_back(NodeStateChanged{identity.m_node, identity.m_dataCentre,
                                        identity.m_incarnation, state, isLeaving, m_view.m_reason});
}

/// Leaving ends with the process. A notice may arrive before the first heartbeat: it then applies
/// to the process that sends it.
bool NodeStateTracker::staysLeaving(bool isNewProcess) const
{
    const bool isUnknown = m_view.m_identity.m_incarnation == 0;
    return m_view.m_isLeaving && (!isNewProcess || isUnknown);
}

HeartbeatFreshness NodeStateTracker::recordHeartbeat(const MembershipMessage &message,
                                                     Duration activeTime, TimePoint now,
                                                     MembershipCommands &commands)
{
    const Incarnation incarnation = message.m_from.m_incarnation;
    if (incarnation < m_view.m_identity.m_incarnation)
        return HeartbeatFreshness::None;
    const bool isNewProcess = incarnation > m_view.m_identity.m_incarnation;
    // Dead is permanent for the incarnation. The node's jobs may have been taken over; if it became
    // alive again, it would continue them. The answer informs it, and it returns with a higher
    // incarnation.
    if (!isNewProcess && isDead())
        return HeartbeatFreshness::None;
    if (!isNewProcess && message.m_sequence <= m_sequence)
        return HeartbeatFreshness::None;

    const bool hasBegunDraining = message.m_draining && !m_view.m_isLeaving;
    const bool isLeaving = message.m_draining || staysLeaving(isNewProcess);
    m_view.m_identity = message.m_from;
    m_view.m_lastReceivedAt = now;
    m_sequence = message.m_sequence;
    m_receivedAt = activeTime;
    m_lastExchange = now;
    m_suspicions = message.m_suspicions;
    const char *const reason = hasBegunDraining ? "draining"
                               : isNewProcess   ? "started"
                                                : "heartbeat received";
    set(NodeState::Alive, isLeaving, reason, now, commands);
    return isNewProcess ? HeartbeatFreshness::FromNewProcess : HeartbeatFreshness::Fresh;
}

bool NodeStateTracker::recordSummaryEntry(const NodeIdentity &identity, Duration activeTime,
                                          TimePoint now, MembershipCommands &commands)
{
    const Incarnation known = m_view.m_identity.m_incarnation;
    if (identity.m_incarnation < known || (isDead() && identity.m_incarnation == known))
        return false;
    const bool isNewProcess = identity.m_incarnation > known;
    // Failure guarded against: a node restarts, and another data centre learns of it from a summary
    // first. The sequence numbers of its new heartbeats start at 1 and would all be below the last
    // one of the former process, so that the data centre that it represents would stay suspect.
    if (isNewProcess)
        m_sequence = 0;
    const bool isLeaving = staysLeaving(isNewProcess);
    m_view.m_identity = identity;
    m_view.m_lastReceivedAt = now;
    m_receivedAt = activeTime;
    set(NodeState::Alive, isLeaving, "listed in its data centre's summary", now, commands);
    return isNewProcess;
}

bool NodeStateTracker::suspects(const NodeIdentity &other) const
{
    return std::any_of(m_suspicions.begin(), m_suspicions.end(),
                       [&](const NodeSuspicion &suspicion) {
                           return suspicion.m_node == other.m_node
                                  && suspicion.m_incarnation >= other.m_incarnation;
                       });
}

void NodeStateTracker::setListed(bool isListed)
{
    m_isListed = isListed;
    m_wasListed = m_wasListed || isListed;
}

void NodeStateTracker::leave(std::string reason, TimePoint now, MembershipCommands &commands)
{
    if (!isDead())
        set(m_view.m_state, true, std::move(reason), now, commands);
}

void NodeStateTracker::detectSilence(Duration suspectAfter, Duration activeTime, TimePoint now,
                                     MembershipCommands &commands)
{
    if (isDead() || silence(activeTime) < suspectAfter)
        return;
    const std::string text = silentFor(silence(activeTime));
    if (isUnlisted())
        setState(NodeState::Dead, text + " and no longer in the VM list", now, commands);
    else if (isAlive())
        setState(NodeState::Suspect, text, now, commands);
}

void NodeStateTracker::detectRemoteSilence(Duration suspectAfter, Duration activeTime,
                                           TimePoint now, MembershipCommands &commands)
{
    if (isDead() || silence(activeTime) < suspectAfter)
        return;
    if (isUnlisted())
        setState(NodeState::Dead, "no longer in the VM list", now, commands);
    else if (isAlive())
        setState(NodeState::Suspect, "no summary from its data centre", now, commands);
}

void NodeStateTracker::confirmDead(const NodeId &witness, Duration activeTime, TimePoint now,
                                   MembershipCommands &commands)
{
    const std::string text = silentFor(silence(activeTime));
    setState(NodeState::Dead, text + ", and " + witness.text() + " receives nothing from it either",
             now, commands);
}

} // namespace gypsumdale
