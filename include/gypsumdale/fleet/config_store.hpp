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

/// What a ConfigStore is made from; ConfigStoreBuilder fills it.
struct ConfigStoreSetup
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    /// The other nodes of the same data centre that the settings name. The lists of a data centre's
    /// nodes must name each other.
    std::vector<NodeId> m_localPeers;
    /// The time of day at this life's start.
    WallMillis m_startedAt = 0;
    /// The most by which the clocks of two VMs may differ.
    Duration m_clockMargin = std::chrono::seconds(2);
    Duration m_watchTimeout = std::chrono::seconds(3);
    /// How long a node that isn't the relay waits for news of the platform before it reads it
    /// itself.
    Duration m_relayTimeout = std::chrono::seconds(5);
    /// Between two questions to the same peer.
    Duration m_askInterval = std::chrono::milliseconds(500);
    /// After a failure of the platform: the first wait, doubled up to the longest.
    Duration m_firstBackoff = std::chrono::milliseconds(250);
    Duration m_longestBackoff = std::chrono::seconds(4);
};

/// Which configuration one node has in force. Holds no clock and no sockets: the kernel passes
/// events with the time in and carries out the commands that come back, in their order.
///
/// What is *known* is the platform's state as of one version of its store (ConfigReplica). What
/// is *in force* follows the known, object by object, and only rises:
///
/// - A body that its checker refuses stays known, and isn't put in force.
/// - A version is put in force once another node of the data centre has said that it knows it, or
///   once every one of them was found gone after this node learned it. Failure guarded against: a
///   node alone knows a version, puts it in force, loses its memory in a restart and, with the
///   platform out, comes back with an older one. With the guard, the version is on another node,
///   and the restarted node waits for that node's answer.
/// - A node is ready (and puts anything in force) only when it knows at least what its former lives
///   had in force; see isReady().
///
/// The relay of a data centre is the live node that rendezvous hashing prefers. It watches the
/// platform and passes changes on. Two relays at once do the same work twice, and no harm.
class ConfigStore
{
public:
    explicit ConfigStore(ConfigStoreSetup setup);

    /// Begins a life. The process must accept frames from peers before this call: a peer takes a
    /// refused connection as proof that no process of this node runs.
    ConfigCommands start(TimePoint now);

    /// To be called at nextTimer() or later. Does nothing when called too early.
    ConfigCommands onTimer(TimePoint now);

    /// When onTimer has something to do.
    TimePoint nextTimer() const;

    /// The nodes of the data centre that membership holds to be live, this one among them. Linear.
    ConfigCommands onLiveNodes(std::span<const NodeId> nodes, TimePoint now);

    /// The answer to ReadPlatform. `askedAt` is the time of day when the call was sent.
    ConfigCommands onPlatformList(const ConfigChanges &snapshot, WallMillis askedAt, TimePoint now);

    /// The answer to WatchPlatform, also an empty one at the timeout. `askedAt` is the time of day
    /// when the call was sent.
    ConfigCommands onPlatformWatch(const ConfigChanges &changes, WallMillis askedAt, TimePoint now);

    /// The watch began too far back: the platform has to be listed again.
    ConfigCommands onPlatformTooOld(TimePoint now);

    /// A list or a watch failed or had no answer in time.
    ConfigCommands onPlatformFailed(TimePoint now);

    /// A digest arrived, by heartbeat, by summary from another data centre, or on its own.
    ConfigCommands onDigest(const ConfigDigestFrom &digest, TimePoint now);

    ConfigCommands onAsk(const ConfigAsk &ask, TimePoint now);

    ConfigCommands onUpdate(const ConfigUpdate &update, TimePoint now);

    /// No process of that peer ran at some moment after `since`: its host refused a connection that
    /// was begun then, or the cloud said then that its VM had ended. Silence is no proof: a node
    /// that is only cut off would be passed over, and could later vouch for an older version. A
    /// caller that gives up on a silent peer all the same trades that risk for progress.
    ConfigCommands onPeerGone(const NodeId &peer, TimePoint since);

    /// Whether the node may serve: it has read the platform in this life; or a peer's knowledge
    /// that it took over was confirmed after its start (by more than the clock margin, since the
    /// two times come from two clocks: with a skew above the margin this rule could hold wrongly);
    /// or every configured node of its data centre, itself ready, has answered this life.
    ///
    /// The third rule holds because what a former life had in force was known to one of them, and a
    /// node that is ready hasn't lost that. Never undone within a life.
    bool isReady() const { return m_ready; }

    /// Why the node isn't ready, for /readyz and status; empty once it is.
    std::string notReadyReason() const;

    /// The highest version in force, 0 for none.
    ConfigVersion versionInForce() const;

    /// The objects in force, for the admin interface; deleted ones are left out. Linear.
    std::vector<ConfigObject> inForce() const;

    /// One object in force, or nothing. Logarithmic.
    std::optional<ConfigObject> inForce(const ConfigKey &key) const;

    /// The versions that are known but refused by their checker. Linear.
    std::vector<BodyRefused> refused() const;

    bool isRelay() const;

    ConfigDigestFrom digest() const;

private:
    /// An object on its way into force.
    struct Candidate
    {
        ConfigObject m_object;
        ConfigValue m_value;
        TimePoint m_learnedAt;
    };

    bool isLocal(const NodeId &node) const { return m_peers.contains(node); }
    bool meetPeer(const ConfigDigestFrom &sender);
    bool takeChanges(const ConfigChanges &changes, TimePoint now, ConfigCommands &commands);
    void addCandidate(const ConfigObject &object, TimePoint now, ConfigCommands &commands);
    void confirm(WallMillis time, TimePoint now);
    void compare(const ConfigDigestFrom &peer, TimePoint now, ConfigCommands &commands);
    void recordAnswer(const ConfigUpdate &update);
    void ask(const NodeId &peer, TimePoint now, ConfigCommands &commands);
    void askForReadiness(ConfigCommands &commands);
    void spreadDigest(ConfigCommands &commands) const;
    void spreadChanges(const ConfigChanges &changes, ConfigCommands &commands) const;
    void settle(ConfigCommands &commands);
    void putSafeInForce(ConfigCommands &commands);
    std::string readyReason() const;
    void onPlatformAnswer(const ConfigChanges &changes, WallMillis askedAt, TimePoint now,
                          ConfigCommands &commands);
    void usePlatform(TimePoint now, ConfigCommands &commands);
    bool isNewsOverdue(TimePoint now) const;
    ConfigAsk makeAsk() const;

    ConfigStoreSetup m_setup;
    ConfigReplica m_known;
    std::map<ConfigKey, Candidate> m_candidates;
    std::map<ConfigKey, ConfigObject> m_inForce;
    std::map<ConfigKey, BodyRefused> m_refused;
    ConfigPeers m_peers;
    std::vector<NodeId> m_liveNodes;
    /// The highest version that any node of the data centre is known to have put in force.
    ConfigVersion m_floor = 0;
    ConfigVersion m_highestInForce = 0;
    WallMillis m_confirmedAsOf = 0;
    TimePoint m_confirmedSeenAt;
    TimePoint m_mayAskAt;
    bool m_ready = false;
    bool m_readThisLife = false;
    bool m_platformCallOut = false;
    bool m_mustList = true;
    Duration m_backoff = Duration::zero();
    TimePoint m_platformNotBefore;
    TimePoint m_nextTimer;
};

/// Sets up a ConfigStore.
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

/// The key by which rendezvous hashing chooses a data centre's relay.
inline constexpr std::string_view configRelayKey = "config-relay";

} // namespace gypsumdale
