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

/// Which nodes there are and which of them can be reached. The nodes of the own data centre keep a
/// full mesh of heartbeats, request and answer; of each other data centre the node that rendezvous
/// hashing prefers exchanges summaries with one node over there and spreads what it gets.
///
/// Silence makes a node suspect. It is held for dead only after a longer silence that another live
/// node of the data centre confirms, or when the VM list no longer shows it. Dead holds for an
/// incarnation: a node that hears that it was held for dead raises its own. Time in which this
/// process itself did not run does not count as silence.
///
/// The parts: NodeStateTracker holds what is believed of one node, ActiveTimeClock the time that
/// silence is measured in, HeartbeatPacing how often heartbeats go out, SummaryTable and
/// SummarySender what data centres tell each other.
///
/// Single-threaded; give each heartbeat that arrives to onHeartbeat before tick is called next.
class Membership
{
public:
    explicit Membership(MembershipSettings settings, TimePoint now);

    /// Moves on to `now`: call it every 50 ms or so. Linear in the nodes of the data centre.
    MembershipCommands tick(TimePoint now, WallMillis wallNow);

    /// What arriving heartbeats and answers leave behind: whether the content is newer than what
    /// was known of the sender (if not, the rest of the heartbeat must be ignored too), and
    /// commands.
    struct Received
    {
        bool m_isFresh = false;
        MembershipCommands m_commands;
    };

    /// Takes in a heartbeat that another node sent first. Linear in its content.
    Received onHeartbeat(const MembershipMessage &message, TimePoint now);

    /// Takes in the answer to a heartbeat. Linear in its content.
    Received onReply(const MembershipMessage &message, TimePoint now);

    /// Makes the answer to a heartbeat that onHeartbeat took in.
    MembershipMessage replyTo(const MembershipMessage &message, TimePoint now, WallMillis wallNow);

    /// A heartbeat could not be sent or was not answered in time: the next summary for that data
    /// centre goes to another of its nodes. Says nothing about death.
    void onSendFailed(const NodeId &node);

    /// Takes in the cloud's list of the system's own VMs. A node that was listed, is not any more
    /// and is silent counts as dead; a node that is heard stays whatever the list says.
    MembershipCommands onVmList(const std::vector<ListedNode> &listed, TimePoint now);

    /// A reclaim notice concerns the VM a node runs on: it is leaving, for this incarnation.
    MembershipCommands markLeaving(const NodeId &node, std::string reason, TimePoint now);

    /// Tells the others that this process is leaving. Never undone.
    void setDraining() { m_isDraining = true; }

    /// What the own data centre can take on; goes into its summary.
    void setCapacity(std::vector<ServiceCapacity> services) { m_services = std::move(services); }

    /// The size of a heartbeat as sent, from which the interval follows. Constant.
    void recordHeartbeatBytes(std::size_t bytes) { m_pace.recordBytes(bytes); }

    const NodeIdentity &self() const { return m_settings.m_self; }
    bool isDraining() const { return m_isDraining; }

    /// The time between exchanges with a node, as the number of nodes and the budget make it.
    Duration heartbeatInterval() const { return m_pace.interval(); }

    /// Returns all known nodes but the own, own data centre's first. Linear.
    std::vector<NodeView> nodes() const;
    const NodeView *find(const NodeId &node) const;

    /// Names of the nodes of the own data centre that duties are shared among: itself and the alive
    /// ones, without those that are leaving as long as others are left. Duties are such that two
    /// holders at a time do no harm. In order of names. Linear.
    std::vector<NodeId> dutyNodes() const;

    /// Nodes of a data centre that are alive and not leaving, without the own one. Linear.
    std::vector<NodeIdentity> availableNodes(const DataCentreId &dataCentre) const;

    /// Other data centres that nodes are known of. Linear in nodes.
    std::vector<DataCentreId> otherDataCentres() const;

    /// The latest summary of each other data centre.
    const std::map<DataCentreId, ReceivedSummary> &summaries() const { return m_summaries.all(); }

private:
    struct Peer
    {
        NodeStateTracker m_tracker;
        TimePoint m_lastSent;
        /// What this node last spread to the peer.
        SentSummaries m_sentSummaries;
        std::int64_t m_nodesDigest = 0;
        TimePoint m_nodesSentAt;
        bool m_isSeed = false;
        HeartbeatRole m_role = HeartbeatRole::Responder;
    };

    Peer &ensure(const NodeIdentity &identity, TimePoint now);
    Received take(const MembershipMessage &message, TimePoint now);
    void takeSummary(const DataCentreSummary &summary, bool isDirect, TimePoint now,
                     MembershipCommands &commands);
    void takeRemoteNodes(const DataCentreSummary &summary, TimePoint now,
                         MembershipCommands &commands);
    void takeSelfSuspicion(const MembershipMessage &message, MembershipCommands &commands);
    void detectSilence(Peer &peer, TimePoint now, MembershipCommands &commands);
    /// The node that cannot hear the peer either; nothing if there is none.
    std::optional<NodeId> witnessAgainst(const NodeIdentity &silent) const;
    bool isHeartbeatDue(const Peer &peer, TimePoint now) const;
    /// Of the own data centre, without the dead ones.
    std::size_t meshSize() const;
    Duration summaryPatience() const;
    /// Tells whether a data centre that is heard no longer lists the node.
    bool isLeftOut(const Peer &peer, TimePoint now) const;
    void forgetOldDead(TimePoint now);
    void sendSummaries(TimePoint now, WallMillis wallNow, MembershipCommands &commands);
    std::optional<NodeIdentity> summaryTarget(const DataCentreId &dataCentre,
                                              const SummarySender &link) const;
    DataCentreSummary ownSummary(SummarySender &link, WallMillis wallNow) const;
    MembershipMessage messageAcross(const DataCentreId &dataCentre, WallMillis wallNow);
    void attachNodes(Peer &peer, MembershipMessage &message, TimePoint now);
    std::vector<NodeIdentity> ownNodes() const;
    MembershipMessage baseMessage();
    MembershipMessage messageFor(Peer &peer, TimePoint now);
    bool isOwn(const DataCentreId &dataCentre) const;

    MembershipSettings m_settings;
    std::map<NodeId, Peer> m_peers;
    std::map<DataCentreId, SummarySender> m_links;
    SummaryTable m_summaries;
    std::vector<ServiceCapacity> m_services;
    ActiveTimeClock m_listening;
    HeartbeatPacing m_pace;
    std::int64_t m_sequence = 0;
    bool m_isDraining = false;
};

} // namespace gypsumdale
