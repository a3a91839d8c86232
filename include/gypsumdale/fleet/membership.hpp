#pragma once

#include <gypsumdale/fleet/active_time_clock.hpp>
#include <gypsumdale/fleet/heartbeat_pacing.hpp>
#include <gypsumdale/fleet/membership_settings.hpp>
#include <gypsumdale/fleet/node_state_tracker.hpp>
#include <gypsumdale/fleet/summary_table.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Tracks which nodes exist and which of them are reachable. The nodes of the own data centre keep
/// a full mesh of heartbeats, request and answer. For each other data centre, the node that
/// rendezvous hashing selects exchanges summaries with one node there and forwards the summaries
/// that it receives.
///
/// Silence makes a node suspect. It counts as dead only after a longer silence that another live
/// node of the data centre confirms, or when the VM list no longer shows it. Dead is final for an
/// incarnation: a node that learns that it counted as dead raises its own incarnation. Time in
/// which this process itself did not run does not count as silence.
///
/// Components: NodeStateTracker tracks the state of one node, ActiveTimeClock measures silence,
/// HeartbeatPacing computes the interval of heartbeats, SummaryTable and SummarySender manage the
/// summaries that data centres exchange.
///
/// Single-threaded; each received heartbeat must be passed to onHeartbeat before the next call of
/// tick.
class Membership
{
public:
    explicit Membership(MembershipSettings settings, TimePoint now);

    /// Advances to `now`; to be called about every 50 ms. Complexity: linear in the number of nodes
    /// of the data centre.
    MembershipCommands tick(TimePoint now, WallMillis wallNow);

    /// Result of a received heartbeat or answer: whether its content is newer than what was known
    /// of the sender (if not, the rest of the heartbeat must be ignored too), and commands.
    struct Received
    {
        bool m_isFresh = false;
        MembershipCommands m_commands;
    };

    /// Handles a heartbeat that another node initiated. Complexity: linear in its content.
    Received onHeartbeat(const MembershipMessage &message, TimePoint now);

    /// Handles the answer to a heartbeat. Complexity: linear in its content.
    Received onReply(const MembershipMessage &message, TimePoint now);

    /// Creates the answer to a heartbeat that was passed to onHeartbeat.
    MembershipMessage replyTo(const MembershipMessage &message, TimePoint now, WallMillis wallNow);

    /// Records that a heartbeat could not be sent or was not answered in time: the next summary for
    /// that data centre goes to another of its nodes. Has no effect on the node's state.
    void onSendFailed(const NodeId &node);

    /// Applies the cloud's list of the system's own VMs. A node that was listed before, is no
    /// longer listed and is silent counts as dead; a node whose heartbeats arrive stays whatever
    /// the list shows.
    MembershipCommands onVmList(const std::vector<ListedNode> &listed, TimePoint now);

    /// Marks a node as leaving for its current incarnation, as a reclaim notice concerns its VM.
    MembershipCommands markLeaving(const NodeId &node, std::string reason, TimePoint now);

    /// Announces to the others that this process is leaving. Never undone.
    void setDraining() { m_isDraining = true; }

    /// Sets the capacity of the own data centre, which is part of its summary.
    void setCapacity(std::vector<ServiceCapacity> services) { m_services = std::move(services); }

    /// Records the size of a sent heartbeat, from which the interval is computed. Complexity:
    /// constant.
    void recordHeartbeatBytes(std::size_t bytes) { m_pacer.recordBytes(bytes); }

    const NodeIdentity &self() const { return m_settings.m_self; }
    bool isDraining() const { return m_isDraining; }

    /// Returns the time between exchanges with a node, as computed from the number of nodes and the
    /// budget.
    Duration heartbeatInterval() const { return m_pacer.interval(); }

    /// Returns all known nodes except this one, those of the own data centre first. Complexity:
    /// linear.
    std::vector<NodeView> nodes() const;
    const NodeView *find(const NodeId &node) const;

    /// Returns the names of the nodes of the own data centre that share duties: this one and the
    /// alive ones, without those that are leaving unless no others remain. Duties are designed so
    /// that two holders at a time do no harm. Sorted by name. Complexity: linear.
    std::vector<NodeId> dutyNodes() const;

    /// Returns the nodes of a data centre that are alive and not leaving, except this one.
    /// Complexity: linear.
    std::vector<NodeIdentity> availableNodes(const DataCentreId &dataCentre) const;

    /// Returns the other data centres of which nodes are known. Complexity: linear in the number of
    /// nodes.
    std::vector<DataCentreId> otherDataCentres() const;

    /// Returns the latest summary of each other data centre.
    const std::map<DataCentreId, ReceivedSummary> &summaries() const { return m_summaries.all(); }

private:
    struct Peer
    {
        NodeStateTracker m_tracker;
        TimePoint m_lastSent;
        /// Summaries that this node last sent to the peer.
        SentSummaries m_sentSummaries;
        std::int64_t m_nodesDigest = 0;
        TimePoint m_nodesSentAt;
        bool m_isSeed = false;
        HeartbeatRole m_role = HeartbeatRole::Responder;
    };

    Peer &ensure(const NodeIdentity &identity, TimePoint now);
    Received receive(const MembershipMessage &message, TimePoint now);
    void applySummary(const DataCentreSummary &summary, bool isDirect, TimePoint now,
                      MembershipCommands &commands);
    void applyRemoteNodes(const DataCentreSummary &summary, TimePoint now,
                          MembershipCommands &commands);
    void refuteSelfSuspicion(const MembershipMessage &message, MembershipCommands &commands);
    void detectSilence(Peer &peer, TimePoint now, MembershipCommands &commands);
    /// Returns a live node that does not receive the peer's heartbeats either; nothing if there is
    /// none.
    std::optional<NodeId> findWitness(const NodeIdentity &silent) const;
    bool isHeartbeatDue(const Peer &peer, TimePoint now) const;
    /// Returns the number of nodes of the own data centre that are not dead, without this one.
    std::size_t meshSize() const;
    Duration summaryTimeout() const;
    /// Returns whether a reachable data centre no longer lists the node.
    bool isUnlistedRemotely(const Peer &peer, TimePoint now) const;
    void removeExpiredNodes(TimePoint now);
    void sendSummaries(TimePoint now, WallMillis wallNow, MembershipCommands &commands);
    std::optional<NodeIdentity> summaryTarget(const DataCentreId &dataCentre,
                                              const SummarySender &sender) const;
    DataCentreSummary ownSummary(SummarySender &sender, WallMillis wallNow) const;
    MembershipMessage messageToDataCentre(const DataCentreId &dataCentre, WallMillis wallNow);
    void attachNodes(Peer &peer, MembershipMessage &message, TimePoint now);
    std::vector<NodeIdentity> ownNodes() const;
    MembershipMessage baseMessage();
    MembershipMessage messageFor(Peer &peer, TimePoint now);
    bool isOwn(const DataCentreId &dataCentre) const;

    MembershipSettings m_settings;
    std::map<NodeId, Peer> m_peers;
    std::map<DataCentreId, SummarySender> m_senders;
    SummaryTable m_summaries;
    std::vector<ServiceCapacity> m_services;
    ActiveTimeClock m_clock;
    HeartbeatPacing m_pacer;
    std::int64_t m_sequence = 0;
    bool m_isDraining = false;
};

} // namespace gypsumdale
