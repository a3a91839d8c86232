#include <gypsumdale/fleet/upstream_state_tracker.hpp>

#include <algorithm> // find, max
#include <utility> // move

namespace gypsumdale {

UpstreamStateTracker::UpstreamStateTracker(const UpstreamDeclaration &declaration,
                                           UpstreamLocality place, TimePoint now)
{
    m_view.m_declaration = declaration;
    m_view.m_stateSince = now;
    m_view.m_reason = "no message received yet";
    if (place == UpstreamLocality::Local)
        return;
    m_view.m_state = UpstreamState::Live;
    m_view.m_reason = "declared; probed by its own data centre";
}

void UpstreamStateTracker::setState(UpstreamState state, std::string reason, TimePoint now,
                                    UpstreamCommands &commands)
{
    if (m_view.m_state == state)
        return;
    m_view.m_state = state;
    m_view.m_stateSince = now;
    m_view.m_reason = std::move(reason);
    commands.push_back(UpstreamStateChanged{m_view.m_declaration.m_upstream, state, m_view.m_reason,
                                            m_view.m_deadline});
}

void UpstreamStateTracker::setInFlight(int own, int total)
{
    m_view.m_ownInFlight = own;
    m_view.m_totalInFlight = total;
}

// --- leaving ----------------------------------------------------------------------------------

void UpstreamStateTracker::drop(TimePoint now, UpstreamCommands &commands)
{
    setState(UpstreamState::Gone, "no longer in the settings", now, commands);
}

void UpstreamStateTracker::markUnlisted(TimePoint now, UpstreamCommands &commands)
{
    m_isVmLeaving = true;
    setState(UpstreamState::Leaving, "the VM list no longer shows it", now, commands);
}

void UpstreamStateTracker::leave(const LeavingNotice &notice, TimePoint now,
                                 UpstreamCommands &commands)
{
    const bool isProcess =
            notice.m_cause == LeavingCause::OperatorDrain || m_view.m_declaration.m_vm.isEmpty();
    if (!isProcess) {
        m_isVmLeaving = true;
    } else {
        const Incarnation incarnation =
                notice.m_incarnation != 0 ? notice.m_incarnation : m_view.m_load.m_incarnation;
        if (incarnation < m_view.m_load.m_incarnation)
            return;
        m_leavingIncarnation = incarnation;
    }
    const bool isNearer = m_view.m_deadline == 0 || notice.m_deadline < m_view.m_deadline;
    if (notice.m_deadline != 0 && isNearer)
        m_view.m_deadline = notice.m_deadline;
    if (m_view.m_state == UpstreamState::Gone)
        return;
    setState(UpstreamState::Leaving, std::string(enumName(leavingCauseNames, notice.m_cause)), now,
             commands);
}

void UpstreamStateTracker::holdBack(TimePoint until, TimePoint now, UpstreamCommands &commands)
{
    m_heldUntil = std::max(m_heldUntil, until);
    setState(UpstreamState::Leaving, "appeared right after its zone's reclaim notice", now,
             commands);
}

// --- answers ----------------------------------------------------------------------------------

bool UpstreamStateTracker::recordLoad(const UpstreamLoad &load, TimePoint observedAt)
{
    const bool isOlderProcess = load.m_incarnation < m_view.m_load.m_incarnation;
    const bool isOlderReport =
            load.m_incarnation == m_view.m_load.m_incarnation && observedAt < m_view.m_loadAt;
    if (isOlderProcess || isOlderReport)
        return false;
    m_view.m_load = load;
    m_view.m_loadAt = observedAt;
    m_lastAnswer = std::max(m_lastAnswer, observedAt);
    return true;
}

void UpstreamStateTracker::recoverIfRestarted(TimePoint now, UpstreamCommands &commands)
{
    if (!m_leavingIncarnation)
        return;
    const Incarnation incarnation = m_view.m_load.m_incarnation;
    if (*m_leavingIncarnation == 0)
        m_leavingIncarnation = incarnation;
    if (incarnation <= *m_leavingIncarnation)
        return;
    m_leavingIncarnation.reset();
    const bool isHeld = now < m_heldUntil;
    if (m_isVmLeaving || isHeld)
        return;
    m_view.m_deadline = 0;
    setState(UpstreamState::Suspect, "restarted", now, commands);
}

void UpstreamStateTracker::recoverIfAnswered(TimePoint now, UpstreamCommands &commands)
{
    recoverIfRestarted(now, commands);
    if (m_view.m_state == UpstreamState::Suspect && now >= m_penaltyUntil)
        setState(UpstreamState::Live, "answered", now, commands);
}

// --- failures ---------------------------------------------------------------------------------

UpstreamState UpstreamStateTracker::stateSeenBy(const NodeId &node) const
{
    return m_suspectedBy.contains(node) ? UpstreamState::Suspect : m_view.m_state;
}

void UpstreamStateTracker::retainSuspicionsOf(const std::vector<NodeId> &nodes)
{
    std::erase_if(m_suspectedBy, [&](const NodeId &node) {
        return std::find(nodes.begin(), nodes.end(), node) == nodes.end();
    });
}

void UpstreamStateTracker::recordProbeFailure(const NodeId &self, const std::string &reason,
                                              TimePoint now, UpstreamCommands &commands)
{
    m_suspectedBy.insert(self);
    if (m_view.m_state == UpstreamState::Live)
        setState(UpstreamState::Suspect, "probes failed: " + reason, now, commands);
}

void UpstreamStateTracker::recordRequestFailure(const std::string &reason, TimePoint penaltyUntil,
                                                TimePoint now, UpstreamCommands &commands)
{
    m_penaltyUntil = penaltyUntil;
    if (m_view.m_state == UpstreamState::Live)
        setState(UpstreamState::Suspect, "a request failed: " + reason, now, commands);
}

void UpstreamStateTracker::recordRequestSuccess(TimePoint now, UpstreamCommands &commands)
{
    m_penaltyUntil = TimePoint();
    m_lastAnswer = now;
    if (m_view.m_state == UpstreamState::Suspect)
        setState(UpstreamState::Live, "a request succeeded", now, commands);
}

// --- time -------------------------------------------------------------------------------------

void UpstreamStateTracker::updateByTime(UpstreamLocality place, bool isListed,
                                        const SilenceLimits &limits, TimePoint now,
                                        WallMillis wallNow, UpstreamCommands &commands)
{
    const bool isLocal = place == UpstreamLocality::Local;
    if (m_view.m_state == UpstreamState::Leaving)
        updateLeaving(isListed, limits, now, wallNow, commands);
    else if (m_view.m_state == UpstreamState::Live && isLocal)
        updateLive(limits, now, commands);
    else if (m_view.m_state == UpstreamState::Suspect && !isLocal && now >= m_penaltyUntil)
        setState(UpstreamState::Live, "the penalty expired", now, commands);
}

void UpstreamStateTracker::updateLeaving(bool isListed, const SilenceLimits &limits, TimePoint now,
                                         WallMillis wallNow, UpstreamCommands &commands)
{
    const bool isConfirmedLeaving = m_isVmLeaving || m_leavingIncarnation.has_value();
    if (!isConfirmedLeaving && now >= m_heldUntil) {
        setState(UpstreamState::Suspect, "the hold after its zone's reclaim notice expired", now,
                 commands);
        return;
    }
    const bool isSilent = now - m_lastAnswer >= limits.m_gone;
    const bool isOver = m_view.m_deadline != 0 && wallNow >= m_view.m_deadline;
    const bool isUnlisted = m_isVmLeaving && !isListed;
    if (isSilent && (isOver || isUnlisted))
        setState(UpstreamState::Gone, "silent after leaving", now, commands);
}

void UpstreamStateTracker::updateLive(const SilenceLimits &limits, TimePoint now,
                                      UpstreamCommands &commands)
{
    const Duration silence = now - m_lastAnswer;
    const bool isSuspected = !m_suspectedBy.empty() && silence >= limits.m_confirmed;
    if (isSuspected) {
        const std::string reason = m_suspectedBy.begin()->text() + " cannot reach it";
        setState(UpstreamState::Suspect, reason, now, commands);
    } else if (silence >= limits.m_longest) {
        setState(UpstreamState::Suspect, "no recent report about it", now, commands);
    }
}

} // namespace gypsumdale
