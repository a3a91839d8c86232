#pragma once

#include <gypsumdale/fleet/upstream_message.hpp>

#include <optional> // optional
#include <set> // set
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Who looks after an upstream, which says from whom this node hears of it.
enum class UpstreamLocality {
    /// Nodes of this data centre probe it.
    Local,
    /// Its own data centre watches it; here it counts as live but for failed requests.
    Remote,
};

/// After which silence what is believed of an upstream.
struct SilenceLimits
{
    /// One that is leaving, and over its deadline or off the VM list, is gone.
    Duration m_gone{};
    /// One that an owner cannot reach is suspect.
    Duration m_confirmed{};
    /// One that nobody speaks of is suspect.
    Duration m_longest{};
};

/// What this node believes of one upstream, and why: its state with all that moves it.
///
/// Leaving is sticky. Once the VM itself goes, no incarnation on it gets new work; where only the
/// process goes, a higher incarnation that answers ends it. Each change of state is one
/// UpstreamStateChanged.
class UpstreamStateTracker
{
public:
    UpstreamStateTracker() = default;
    UpstreamStateTracker(const UpstreamDeclaration &declaration, UpstreamLocality place,
                         TimePoint now);

    const UpstreamView &view() const { return m_view; }
    bool isVmLeaving() const { return m_isVmLeaving; }
    TimePoint lastAnswer() const { return m_lastAnswer; }

    void redeclare(const UpstreamDeclaration &declaration) { m_view.m_declaration = declaration; }
    void setInFlight(int own, int total);

    /// The upstream is no longer declared at all.
    void drop(TimePoint now, UpstreamCommands &commands);
    /// The VM list no longer shows its VM, and is believed.
    void markUnlisted(TimePoint now, UpstreamCommands &commands);
    /// The notice names the upstream, its VM or its zone. A drain of an earlier incarnation is
    /// none of this one's business.
    void leave(const LeavingNotice &notice, TimePoint now, UpstreamCommands &commands);
    /// It appeared right after its zone's notice: no new work until then.
    void holdBack(TimePoint until, TimePoint now, UpstreamCommands &commands);

    /// Takes in what the upstream said of itself; false if something later is known.
    bool recordLoad(const UpstreamLoad &load, TimePoint observedAt);
    /// After a load was taken in: what a sign of life changes.
    void recoverIfAnswered(TimePoint now, UpstreamCommands &commands);

    /// `node` cannot reach it, or can again. A word of suspicion alone changes no state.
    void addSuspicion(const NodeId &node) { m_suspectedBy.insert(node); }
    void clearSuspicion(const NodeId &node) { m_suspectedBy.erase(node); }
    /// Suspect if the node cannot reach it, otherwise the state.
    UpstreamState stateSeenBy(const NodeId &node) const;
    /// Drops the words of all other nodes.
    void retainSuspicionsOf(const std::vector<NodeId> &nodes);

    /// Probes of this node failed so often that it suspects the upstream itself.
    void recordProbeFailure(const NodeId &self, const std::string &reason, TimePoint now,
                            UpstreamCommands &commands);
    /// A request failed there: suspect at least until `penaltyUntil`.
    void recordRequestFailure(const std::string &reason, TimePoint penaltyUntil, TimePoint now,
                              UpstreamCommands &commands);
    /// A request got an answer, which ends the penalty.
    void recordRequestSuccess(TimePoint now, UpstreamCommands &commands);

    /// What time alone changes. `isListed` tells whether the VM list shows its VM.
    void updateByTime(UpstreamLocality place, bool isListed, const SilenceLimits &limits,
                      TimePoint now, WallMillis wallNow, UpstreamCommands &commands);

private:
    void setState(UpstreamState state, std::string reason, TimePoint now,
                  UpstreamCommands &commands);
    void reviveIfRestarted(TimePoint now, UpstreamCommands &commands);
    void settleLeaving(bool isListed, const SilenceLimits &limits, TimePoint now,
                       WallMillis wallNow, UpstreamCommands &commands);
    void settleLive(const SilenceLimits &limits, TimePoint now, UpstreamCommands &commands);

    UpstreamView m_view;
    /// When the upstream last answered, to this node or to an owner who said so.
    TimePoint m_lastAnswer;
    TimePoint m_penaltyUntil;
    std::set<NodeId> m_suspectedBy;
    /// The VM itself goes: no incarnation on it gets new work.
    bool m_isVmLeaving = false;
    /// The process goes: it stays leaving until a higher incarnation answers. 0 means the first
    /// incarnation to answer.
    std::optional<Incarnation> m_leavingIncarnation;
    /// Held back since it appeared right after its zone's notice; the clock's start if not.
    TimePoint m_heldUntil;
};

} // namespace gypsumdale
