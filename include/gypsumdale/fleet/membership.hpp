#pragma once

#include <gypsumdale/fleet/data_centre_summary.hpp>
#include <gypsumdale/fleet/membership_settings.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// A node's word that it cannot hear another one, or holds it for dead.
struct NodeSuspicion
{
    NodeId m_node;
    Incarnation m_incarnation = 0;
    bool m_dead = false;
};

/// The membership part of a heartbeat, in either direction.
struct MembershipMessage
{
    NodeIdentity m_from;
    std::int64_t m_sequence = 0;
    bool m_draining = false;
    /// Over the names of the data centre's nodes; the lists are exchanged while they differ.
    std::int64_t m_nodesDigest = 0;
    std::optional<std::vector<NodeIdentity>> m_nodes;
    std::vector<NodeSuspicion> m_suspicions;
    std::vector<DataCentreSummary> m_summaries;
    /// Of the receiver's data centre, between data centres: the digest of the list of its nodes
    /// that the sender has.
    std::int64_t m_heldNodesDigest = 0;
};

/// Send a heartbeat and give the answer to Membership::onReply.
struct SendHeartbeat
{
    NodeIdentity m_to;
    MembershipMessage m_content;
};

/// A node's state is another one now: for logs, the explain history, and whoever chooses nodes.
struct NodeStateChanged
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    NodeState m_state = NodeState::Suspect;
    std::string m_reason;
};

/// The own incarnation had to grow, since others hold the last one for dead.
struct OwnIncarnationRaised
{
    Incarnation m_incarnation = 0;
};

using MembershipCommand = std::variant<SendHeartbeat, NodeStateChanged, OwnIncarnationRaised>;
using MembershipCommands = std::vector<MembershipCommand>;

/// An entry VM of the system as the cloud's lagging list shows it.
struct ListedNode
{
    NodeIdentity m_identity;
    bool m_leaving = false;
};

/// Which nodes there are and which of them can be reached. The nodes of the own data centre keep a
/// full mesh of heartbeats, request and answer; of each other data centre the node that rendezvous
/// hashing prefers exchanges summaries with one node over there and spreads what it gets.
///
/// Silence makes a node suspect. It is held for dead only after a longer silence that another live
/// node of the data centre confirms, or when the VM list no longer shows it. Dead holds for an
/// incarnation: a node that hears that it was held for dead raises its own. Time in which this
/// process itself did not run does not count as silence.
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
    void noteHeartbeatBytes(std::size_t bytes);

    const NodeIdentity &self() const { return m_settings.m_self; }
    bool isDraining() const { return m_isDraining; }

    /// The time between exchanges with a node, as the number of nodes and the budget make it.
    Duration heartbeatInterval() const { return m_interval; }

    /// Returns all known nodes but the own, own data centre's first. Linear.
    std::vector<NodeView> nodes() const;
    const NodeView *find(const NodeId &node) const;

    /// Names of the nodes of the own data centre that duties are shared among: itself and the alive
    /// ones, without those that are leaving as long as others are left. Duties are such that two
    /// holders at a time do no harm. In order of names. Linear.
    std::vector<NodeId> dutyNodes() const;

    /// Alive nodes of a data centre, without the own one. Linear.
    std::vector<NodeIdentity> aliveNodes(const DataCentreId &dataCentre) const;

    /// Other data centres that nodes are known of. Linear in nodes.
    std::vector<DataCentreId> otherDataCentres() const;

    /// The latest summary of each other data centre.
    const std::map<DataCentreId, ReceivedSummary> &summaries() const { return m_summaries; }

private:
    /// When the summary, and the list of nodes, that were spread to a peer had been made.
    struct SpreadTimes
    {
        WallMillis m_madeAt = 0;
        WallMillis m_nodesMadeAt = 0;
    };

    struct Peer
    {
        NodeView m_view;
        std::int64_t m_sequence = 0;
        /// In listening time; see m_listened.
        Duration m_heardAt{};
        TimePoint m_lastExchange;
        TimePoint m_lastSent;
        std::vector<NodeSuspicion> m_suspicions;
        /// What this node last spread to the peer.
        std::map<DataCentreId, SpreadTimes> m_summariesSent;
        std::int64_t m_nodesDigest = 0;
        TimePoint m_nodesSentAt;
        /// Listed by the cloud once, and by its last list.
        bool m_wasListed = false;
        bool m_isListed = false;
        bool m_isSeed = false;
        /// Whether this node is the one of the pair that starts their exchanges.
        bool m_isInitiator = false;
    };

    struct RemoteLink
    {
        TimePoint m_lastSent;
        std::size_t m_failures = 0;
        int m_sinceNodeList = 0;
        /// The digest of this data centre's list that the other one said to have.
        std::int64_t m_heldThere = 0;
    };

    Peer &ensure(const NodeIdentity &identity, TimePoint now);
    Received take(const MembershipMessage &message, TimePoint now);
    bool adoptSender(const MembershipMessage &message, TimePoint now, MembershipCommands &commands);
    void takeRemoteNodes(const DataCentreSummary &summary, TimePoint now,
                         MembershipCommands &commands);
    void takeSummary(const DataCentreSummary &summary, bool isDirect, TimePoint now,
                     MembershipCommands &commands);
    void takeNodeList(const DataCentreSummary &summary, bool isStale, ReceivedSummary &held);
    static void forgetProcess(Peer &peer);
    void takeSelfSuspicion(const MembershipMessage &message, MembershipCommands &commands);
    void setState(Peer &peer, NodeState state, std::string reason, TimePoint now,
                  MembershipCommands &commands);
    void judge(Peer &peer, TimePoint now, MembershipCommands &commands);
    void judgeRemote(Peer &peer, TimePoint now, MembershipCommands &commands);
    /// The node that cannot hear the peer either; nothing if there is none.
    std::optional<NodeId> confirmerOf(const Peer &peer) const;
    bool isHeartbeatDue(const Peer &peer, TimePoint now) const;
    Duration affordableInterval() const;
    bool initiatesTo(const NodeId &node) const;
    /// Tells whether a data centre that is heard no longer lists the node.
    bool isLeftOut(const Peer &peer, TimePoint now) const;
    void forgetOldDead(TimePoint now);
    void sendSummaries(TimePoint now, WallMillis wallNow, MembershipCommands &commands);
    std::optional<NodeIdentity> summaryTarget(const DataCentreId &dataCentre,
                                              const RemoteLink &link) const;
    DataCentreSummary ownSummary(RemoteLink &link, WallMillis wallNow) const;
    MembershipMessage messageAcross(const DataCentreId &dataCentre, WallMillis wallNow);
    std::int64_t heldNodesDigest(const DataCentreId &dataCentre) const;
    void attachSummaries(Peer &peer, MembershipMessage &message);
    void attachNodes(Peer &peer, MembershipMessage &message, TimePoint now);
    std::vector<NodeIdentity> ownNodes() const;
    MembershipMessage baseMessage();
    MembershipMessage messageFor(Peer &peer, TimePoint now);
    bool isOwn(const DataCentreId &dataCentre) const;
    Duration silenceOf(const Peer &peer) const { return m_listened - peer.m_heardAt; }

    MembershipSettings m_settings;
    std::map<NodeId, Peer> m_peers;
    std::map<DataCentreId, RemoteLink> m_links;
    std::map<DataCentreId, ReceivedSummary> m_summaries;
    /// Those whose summary came here directly and is this node's to spread.
    std::set<DataCentreId> m_toSpread;
    std::vector<ServiceCapacity> m_services;
    TimePoint m_lastTick;
    /// The time this process spent listening: the sum of the gaps between ticks, each counted up to
    /// m_longestTickGap. Silence is measured in it, so that a pause of the observer, which shows as
    /// one long gap, ages nobody.
    Duration m_listened{};
    /// As of the last tick.
    Duration m_interval;
    std::int64_t m_sequence = 0;
    double m_heartbeatBytes = 150;
    bool m_isDraining = false;
};

} // namespace gypsumdale
