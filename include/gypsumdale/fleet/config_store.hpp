#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/fleet/config_command.hpp>
#include <gypsumdale/fleet/config_message.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <chrono> // milliseconds, seconds
#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <span> // span
#include <string> // string
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
    Duration m_relayPatience = std::chrono::seconds(5);
    /// Between two questions to the same peer.
    Duration m_askInterval = std::chrono::milliseconds(500);
    /// After a failure of the platform: the first wait, doubled up to the longest.
    Duration m_firstBackoff = std::chrono::milliseconds(250);
    Duration m_longestBackoff = std::chrono::seconds(4);
};

/// Which configuration one node has in force. Holds no clock and no sockets: the kernel passes
/// events with the time in and carries out the commands that come back, in their order.
///
/// What is *known* is always the platform's state as of one version of its store (`completeTo`):
/// changes are taken only when they join on, so that one number says what a node knows. What is *in
/// force* follows the known, object by object, and only rises:
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

    /// No process of that peer runs: its host refused a connection that was tried after `since`, or
    /// the cloud says that its VM has ended. A silent peer isn't gone. Proof that is older than the
    /// version in question is no use, so it counts for what was known at `since`.
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
    struct Entry
    {
        ConfigObject m_known;
        TimePoint m_learnedAt;
        /// The newest known version that the checker accepts, until it is in force.
        std::optional<ConfigObject> m_candidate;
        ConfigValue m_candidateValue;
        TimePoint m_candidateLearnedAt;
        std::optional<ConfigObject> m_inForce;
        Findings m_findings;
    };

    struct PeerView
    {
        Incarnation m_incarnation = 0;
        ConfigVersion m_completeTo = 0;
        /// Whether it answered this life while ready.
        bool m_answered = false;
        std::optional<TimePoint> m_goneSince;
        std::optional<TimePoint> m_askedAt;
    };

    bool isLocal(const NodeId &node) const;
    /// Notes a message's sender. Returns false for one from a life that has ended.
    bool meetPeer(const NodeId &node, Incarnation incarnation);
    bool takeChanges(const ConfigChanges &changes, TimePoint now, ConfigCommands &commands);
    void takeObject(const ConfigObject &object, TimePoint now, ConfigCommands &commands);
    void endMissing(const ConfigChanges &snapshot, TimePoint now, ConfigCommands &commands);
    void confirm(WallMillis time, TimePoint now);
    void considerPeer(const ConfigDigestFrom &digest, TimePoint now, ConfigCommands &commands);
    void ask(const NodeId &peer, ConfigVersion from, TimePoint now, ConfigCommands &commands);
    void askForReadiness(TimePoint now, ConfigCommands &commands);
    void spread(const ConfigChanges &changes, ConfigCommands &commands) const;
    void settle(TimePoint now, ConfigCommands &commands);
    std::optional<std::string> readyReason() const;
    bool isSafeToUse(const Entry &entry) const;
    void usePlatform(TimePoint now, ConfigCommands &commands);
    bool mayReadPlatform(TimePoint now) const;
    ConfigChanges changesAfter(ConfigVersion from) const;
    void rehash();

    ConfigStoreSetup m_setup;
    std::map<ConfigKey, Entry> m_entries;
    std::map<NodeId, PeerView> m_peers;
    std::vector<NodeId> m_liveNodes;
    ConfigVersion m_completeTo = 0;
    /// Deletions after this version are all known as such.
    ConfigVersion m_historyFrom = 0;
    ConfigVersion m_floor = 0;
    WallMillis m_confirmedAsOf = 0;
    TimePoint m_confirmedSeenAt;
    std::uint64_t m_hash = 0;
    std::uint64_t m_count = 0;
    ConfigVersion m_highest = 0;
    bool m_ready = false;
    bool m_readThisLife = false;
    bool m_listOut = false;
    bool m_watchOut = false;
    bool m_mustList = true;
    Duration m_backoff{};
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
    ConfigStoreBuilder &relayPatience(Duration patience);
    ConfigStore build() const { return ConfigStore(m_setup); }

private:
    ConfigStoreSetup m_setup;
};

/// Returns the node that passes the configuration on in a data centre: the live one with the lowest
/// rendezvous weight; empty for no nodes. Linear.
NodeId configRelayOf(std::span<const NodeId> liveNodes);

} // namespace gypsumdale
