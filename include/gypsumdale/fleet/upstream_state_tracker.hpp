#pragma once

#include <gypsumdale/fleet/upstream_message.hpp>

#include <optional> // optional
#include <set> // set
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Where an upstream is, which determines how this node learns about it.
enum class UpstreamLocality {
    /// Nodes of this data centre probe it.
    Local,
    /// Nodes of its own data centre probe it; here it counts as live unless requests fail.
    Remote,
};

/// Durations of silence after which the state of an upstream changes.
struct SilenceLimits
{
    /// An upstream that is leaving, and past its deadline or not in the VM list, is gone.
    Duration m_gone{};
    /// An upstream that an owner cannot reach is suspect.
    Duration m_confirmed{};
    /// An upstream without any report is suspect.
    Duration m_longest{};
};

/// Tracks the state of one upstream with everything that changes it.
///
/// Leaving is permanent. If the VM itself goes away, no incarnation on it gets new work; if only
/// the process ends, a higher incarnation that answers ends the state. Each state change results in
/// one UpstreamStateChanged.
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

    /// Marks the upstream as gone, as it is no longer declared.
    void drop(TimePoint now, UpstreamCommands &commands);
    /// Marks the upstream as leaving, as the VM list reliably no longer shows its VM.
    void markUnlisted(TimePoint now, UpstreamCommands &commands);
    /// Applies a notice that names the upstream, its VM or its zone. A drain of an earlier
    /// incarnation doesn't apply to the current one.
    void leave(const LeavingNotice &notice, TimePoint now, UpstreamCommands &commands);
    /// Withholds new work until `until`, as the upstream appeared right after its zone's notice.
    void holdBack(TimePoint until, TimePoint now, UpstreamCommands &commands);

    /// Records the load that the upstream reported. Returns false if a later one is known.
    bool recordLoad(const UpstreamLoad &load, TimePoint observedAt);
    /// Updates the state after a load was recorded, which is a sign of life.
    void recoverIfAnswered(TimePoint now, UpstreamCommands &commands);

    /// Records that `node` cannot reach the upstream, or can again. A suspicion alone doesn't
    /// change the state.
    void addSuspicion(const NodeId &node) { m_suspectedBy.insert(node); }
    void clearSuspicion(const NodeId &node) { m_suspectedBy.erase(node); }
    /// Returns Suspect if the node cannot reach it, otherwise the state.
    UpstreamState stateSeenBy(const NodeId &node) const;
    /// Removes the suspicions of all other nodes.
    void retainSuspicionsOf(const std::vector<NodeId> &nodes);

    /// Marks the upstream as suspect, as enough consecutive probes of this node failed.
    void recordProbeFailure(const NodeId &self, const std::string &reason, TimePoint now,
                            UpstreamCommands &commands);
    /// Marks the upstream as suspect at least until `penaltyUntil`, as a request failed there.
    void recordRequestFailure(const std::string &reason, TimePoint penaltyUntil, TimePoint now,
                              UpstreamCommands &commands);
    /// Records that a request was answered, which ends the penalty.
    void recordRequestSuccess(TimePoint now, UpstreamCommands &commands);

    /// Applies the state changes that depend on time alone. `isListed` is whether the VM list shows
    /// its VM.
    void updateByTime(UpstreamLocality place, bool isListed, const SilenceLimits &limits,
                      TimePoint now, WallMillis wallNow, UpstreamCommands &commands);

private:
    void setState(UpstreamState state, std::string reason, TimePoint now,
                  UpstreamCommands &commands);
    void recoverIfRestarted(TimePoint now, UpstreamCommands &commands);
    void updateLeaving(bool isListed, const SilenceLimits &limits, TimePoint now,
                       WallMillis wallNow, UpstreamCommands &commands);
    void updateLive(const SilenceLimits &limits, TimePoint now, UpstreamCommands &commands);

    UpstreamView m_view;
    /// Time of the upstream's last answer, to this node or to an owner that reported it.
    TimePoint m_lastAnswer;
    TimePoint m_penaltyUntil;
    std::set<NodeId> m_suspectedBy;
    /// The VM itself goes away: no incarnation on it gets new work.
    bool m_isVmLeaving = false;
    /// The process ends: the upstream stays leaving until a higher incarnation answers. 0 means the
    /// first incarnation to answer.
    std::optional<Incarnation> m_leavingIncarnation;
    /// Time until which it gets no work, as it appeared right after its zone's notice; the clock's
    /// start if that isn't the case.
    TimePoint m_heldUntil;
};

} // namespace gypsumdale
