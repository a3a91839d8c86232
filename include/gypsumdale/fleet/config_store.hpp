#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/fleet/config_command.hpp>
#include <gypsumdale/fleet/config_message.hpp>
#include <gypsumdale/fleet/config_object.hpp>
#include <gypsumdale/fleet/config_peers.hpp>
#include <gypsumdale/fleet/config_replica.hpp>

#include <chrono> // milliseconds, seconds
#include <map> // map
#include <optional> // optional
#include <span> // span
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Settings of a ConfigStore; filled by ConfigStoreBuilder.
struct ConfigStoreSetup
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    /// The other nodes of the same data centre that the settings name. The nodes of a data centre
    /// must name each other in these lists.
    std::vector<NodeId> m_localPeers;
    /// Time of day at the start of this incarnation.
    WallMillis m_startedAt = 0;
    /// Maximum difference between the clocks of two VMs.
    Duration m_clockMargin = std::chrono::seconds(2);
    Duration m_watchTimeout = std::chrono::seconds(3);
    /// Time without confirmed data from the platform after which a node that isn't the relay reads
    /// the platform itself.
    Duration m_relayTimeout = std::chrono::seconds(5);
    /// Minimum time between two requests to peers.
    Duration m_askInterval = std::chrono::milliseconds(500);
    /// Initial backoff after a failure of the platform; doubled up to the longest one.
    Duration m_firstBackoff = std::chrono::milliseconds(250);
    Duration m_longestBackoff = std::chrono::seconds(4);
};

/// Decides which configuration one node has in force. Has no clock and no sockets: the kernel
/// passes in events with the time, and executes the returned commands in their order.
///
/// *Known* is the platform's state as of one version of its store (ConfigReplica). *In force*
/// follows the known state, object by object, and only to higher versions:
///
/// - A body that its checker refuses is known, but isn't put in force.
/// - A version is put in force once another node of the data centre has reported that it knows it,
///   or once every one of them was found gone after this node learned it. Failure guarded against:
///   a single node knows a version, puts it in force, loses its memory in a restart and, with the
///   platform unavailable, starts again with an older one. With the guard, the version is on
///   another node, and the restarted node waits for that node's answer.
/// - A node is ready (and puts anything in force) only when it knows at least what its former
///   incarnations had in force; see isReady().
///
/// The relay of a data centre is the live node that rendezvous hashing selects. It watches the
/// platform and forwards changes. Two relays at a time duplicate work but do no harm.
class ConfigStore
{
public:
    explicit ConfigStore(ConfigStoreSetup setup);

    /// Starts an incarnation. The process must accept frames from peers before this call: a peer
    /// takes a refused connection as proof that no process of this node runs.
    ConfigCommands start(TimePoint now);

    /// Executes what is due; to be called at nextTimer() or later. Does nothing when called too
    /// early.
    ConfigCommands onTimer(TimePoint now);

    /// Returns the time at which onTimer has something to do.
    TimePoint nextTimer() const;

    /// Sets the live nodes of the data centre according to membership, this one included.
    /// Complexity: linear.
    ConfigCommands onLiveNodes(std::span<const NodeId> nodes, TimePoint now);

    /// Handles the answer to ReadPlatform. `askedAt` is the time of day at which the call was sent.
    ConfigCommands onPlatformList(const ConfigChanges &snapshot, WallMillis askedAt, TimePoint now);

    /// Handles the answer to WatchPlatform, including an empty one at the timeout. `askedAt` is the
    /// time of day at which the call was sent.
    ConfigCommands onPlatformWatch(const ConfigChanges &changes, WallMillis askedAt, TimePoint now);

    /// Handles a watch whose start version is no longer available: the platform has to be listed
    /// again.
    ConfigCommands onPlatformTooOld(TimePoint now);

    /// Handles a list or watch that failed or timed out.
    ConfigCommands onPlatformFailed(TimePoint now);

    /// Handles a digest that arrived by heartbeat, in a summary from another data centre, or
    /// separately.
    ConfigCommands onDigest(const ConfigDigestFrom &digest, TimePoint now);

    ConfigCommands onAsk(const ConfigAsk &ask, TimePoint now);

    ConfigCommands onUpdate(const ConfigUpdate &update, TimePoint now);

    /// Handles proof that no process of that peer ran at some moment after `since`: its host
    /// refused a connection that was begun then, or the cloud reported then that its VM had ended.
    /// Silence is no proof: a node that is only partitioned would be skipped, and could later
    /// confirm an older version. A caller that gives up on a silent peer nevertheless trades that
    /// risk for progress.
    ConfigCommands onPeerGone(const NodeId &peer, TimePoint since);

    /// Returns whether the node may serve. One of these rules must hold: it has read the platform
    /// in this incarnation; a peer's state that it applied was confirmed after its start (by more
    /// than the clock margin, since the two times are from two clocks: with a skew above the margin
    /// this rule could hold wrongly); or every configured node of its data centre, itself ready,
    /// has answered this incarnation.
    ///
    /// The third rule is sound because what a former incarnation had in force was known to one of
    /// these nodes, and a node that is ready hasn't lost it. Once true, the result stays true
    /// within an incarnation.
    bool isReady() const { return m_ready; }

    /// Returns why the node isn't ready, for /readyz and status; empty once it is.
    std::string notReadyReason() const;

    /// Returns the highest version in force, 0 for none.
    ConfigVersion versionInForce() const;

    /// Returns the objects in force, for the admin interface, without deleted ones. Complexity:
    /// linear.
    std::vector<ConfigObject> inForce() const;

    /// Returns one object in force, or nothing. Complexity: logarithmic.
    std::optional<ConfigObject> inForce(const ConfigKey &key) const;

    /// Returns the versions that are known but refused by their checker. Complexity: linear.
    std::vector<BodyRefused> refused() const;

    bool isRelay() const;

    ConfigDigestFrom digest() const;

private:
    /// An object that is known but not yet in force.
    struct Candidate
    {
        ConfigObject m_object;
        ConfigValue m_value;
        TimePoint m_learnedAt;
    };

    bool isLocal(const NodeId &node) const { return m_peers.contains(node); }
    bool recordPeer(const ConfigDigestFrom &sender);
    bool applyChanges(const ConfigChanges &changes, TimePoint now, ConfigCommands &commands);
    void addCandidate(const ConfigObject &object, TimePoint now, ConfigCommands &commands);
    void confirm(WallMillis time, TimePoint now);
    void compare(const ConfigDigestFrom &peer, TimePoint now, ConfigCommands &commands);
    void recordAnswer(const ConfigUpdate &update);
    void ask(const NodeId &peer, TimePoint now, ConfigCommands &commands);
    void askUnansweredPeers(ConfigCommands &commands);
    void sendDigestToPeers(ConfigCommands &commands) const;
    void sendChangesToPeers(const ConfigChanges &changes, ConfigCommands &commands) const;
    void updateReadiness(ConfigCommands &commands);
    void putSafeInForce(ConfigCommands &commands);
    std::string readyReason() const;
    void onPlatformAnswer(const ConfigChanges &changes, WallMillis askedAt, TimePoint now,
                          ConfigCommands &commands);
    void startPlatformCall(TimePoint now, ConfigCommands &commands);
    bool isPlatformReadOverdue(TimePoint now) const;
    ConfigAsk makeAsk() const;

    ConfigStoreSetup m_setup;
    ConfigReplica m_known;
    std::map<ConfigKey, Candidate> m_candidates;
    std::map<ConfigKey, ConfigObject> m_inForce;
    std::map<ConfigKey, BodyRefused> m_refused;
    ConfigPeers m_peers;
    std::vector<NodeId> m_liveNodes;
    /// Highest version that any node of the data centre is known to have put in force.
    ConfigVersion m_floor = 0;
    ConfigVersion m_highestInForce = 0;
    WallMillis m_confirmedAsOf = 0;
    TimePoint m_confirmationReceivedAt;
    TimePoint m_nextAskAt;
    bool m_ready = false;
    bool m_hasReadPlatform = false;
    bool m_isPlatformCallPending = false;
    bool m_mustList = true;
    Duration m_backoff = Duration::zero();
    TimePoint m_nextPlatformCallAt;
    TimePoint m_nextTimer;
};

/// Builds a ConfigStore.
class ConfigStoreBuilder
{
public:
    ConfigStoreBuilder &node(NodeId node, DataCentreId dataCentre, Incarnation incarnation);
    ConfigStoreBuilder &localPeers(std::vector<NodeId> peers);
    ConfigStoreBuilder &startedAt(WallMillis time);
    ConfigStoreBuilder &clockMargin(Duration margin);
    ConfigStoreBuilder &watchTimeout(Duration timeout);
    ConfigStoreBuilder &relayTimeout(Duration patience);
    ConfigStore build() const { return ConfigStore(m_setup); }

private:
    ConfigStoreSetup m_setup;
};

/// Key with which rendezvous hashing selects the relay of a data centre.
inline constexpr std::string_view configRelayKey = "config-relay";

} // namespace gypsumdale
