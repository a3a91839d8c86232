#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>
#include <gypsumdale/ledger/platform_log.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::detail {
class ClaimAttempts;
class ClaimShard;
struct ClaimAttempt;
enum class ClaimRole;
} // namespace gypsumdale::detail

namespace gypsumdale {

/// Settings of a ClaimLedger.
struct ClaimLedgerSettings
{
    NodeId m_node;
    /// Unique for each run of the process.
    std::string m_writer;
    /// Number of shards; must be the same on all nodes. Changing it discards all keys.
    ShardNumber m_shards = 64;
    /// Time for which a key is remembered, counted from its claim.
    Duration m_retention = std::chrono::hours(24);
    /// Maximum difference between the clocks of two nodes; keys are kept longer by this time.
    Duration m_clockTolerance = std::chrono::minutes(5);
    /// Longest wait of a claim for the platform, even if its deadline is later.
    Duration m_claimTimeout = std::chrono::seconds(5);
    /// Retry delay of a refusal if the platform named none.
    Duration m_retryAfter = std::chrono::seconds(1);
    /// Maximum size of a stored answer. For a larger one, a resubmission gets the status alone.
    std::size_t m_maxAnswerBytes = 4096;
    /// The state of a shard is dropped after this time without use, and replayed when it is needed
    /// again.
    Duration m_shardIdleTimeout = std::chrono::minutes(30);
    /// Minimum interval between two writes to one shard.
    Duration m_writeInterval = std::chrono::milliseconds(200);
    /// Number of segments of a shard above which its keys are restated, so that older segments can
    /// be deleted and a replay stays short.
    std::size_t m_compactionThreshold = 512;
    /// Minimum age of a deleted segment, counted from when the deleting node first saw it. Far
    /// above m_endTrustDuration, so that a create that was delayed for less than this finds the
    /// segment.
    Duration m_trimDelay = std::chrono::minutes(10);
    /// Time for which the end of a log, once seen, is assumed not to have been trimmed.
    Duration m_endTrustDuration = std::chrono::minutes(1);
    /// Maximum bytes of stored answers in the memory of one shard.
    std::size_t m_maxAnswerMemory = std::size_t{512} * 1024;
};

/// Ensures that keyed requests run at most once, over any number of nodes that share only the
/// platform.
///
/// Each node has one ledger. A request is claimed by appending a record with its attempt to the log
/// of its shard; the first claim of a key in log order is valid. Only the node that owns the
/// attempt of the valid claim sends it, once, and only if start() returned true right before. A
/// claim without an outcome is never run again, as nobody can distinguish a slow holder from a dead
/// one.
///
/// No lease is involved, so that a pause of any length is harmless. Clocks only determine when keys
/// are discarded after the retention.
class ClaimLedger
{
public:
    explicit ClaimLedger(ClaimLedgerSettings settings);
    ~ClaimLedger();
    ClaimLedger(ClaimLedger &&) noexcept;
    ClaimLedger &operator=(ClaimLedger &&) noexcept;

    /// Claims a key for an attempt of this node. The result arrives as ClaimDecided, often within
    /// this call.
    ClaimTicket begin(const ClaimRequest &request, Moment moment);

    /// Claims a key for an attempt of another node, which forwarded it here. The result is returned
    /// to that node; this node never sends the attempt. After the result NotRun, no node ever sends
    /// the attempt.
    ClaimTicket beginForPeer(const ClaimRequest &request, const NodeId &peer, Moment moment);

    /// Registers an attempt of this node whose claim is forwarded to another node. Ends with
    /// onForwardResult(), or at the deadline or the claim timeout; then the attempt is abandoned as
    /// in onForwardLost().
    ClaimTicket beginForwarded(const ClaimRequest &request, Moment moment);

    /// Handles the other node's result of a forwarded claim. Ignored if the ticket was decided in
    /// the meantime.
    void onForwardResult(ClaimTicket ticket, const ClaimResult &result, Moment moment);

    /// Handles the loss of the reply to a forwarded claim. The attempt, which only this node could
    /// send, is abandoned, and a NotRun record is appended so that its claim, if it is valid,
    /// blocks nobody. The ticket is decided as NotRun; a begin() with a new attempt may follow at
    /// once.
    void onForwardLost(ClaimTicket ticket, Moment moment);

    /// Returns whether a granted attempt may be sent now; to be called right before the first byte
    /// is sent. Returns true at most once for an attempt, and never after its deadline, when the
    /// attempt is abandoned and recorded as not run.
    bool start(const AttemptId &attempt, Moment moment);

    /// Records the outcome of a started attempt. Done stores the answer if it is small enough. For
    /// an attempt that was granted but not started, NotRun is recorded.
    void finish(const AttemptId &attempt, Outcome outcome, const StoredAnswer &answer,
                Moment moment);

    /// Appends a record that another node forwarded here (RecordToForward). Fails with
    /// PeerMalformed for bytes that are not such a record, and with QueueFull.
    Result<Done> appendForPeer(ShardNumber number, std::string_view record, Moment moment);

    /// Returns the next command to execute now, if any; to be called until it returns nothing. Each
    /// command requires exactly one onAnswer().
    std::optional<ShardCommand> next(Moment moment);

    void onAnswer(ShardNumber shard, const LogAnswer &answer, Moment moment);

    /// Handles the passing of time: decides claims that waited too long and drops idle shards. To
    /// be called at nextWake(). Complexity: linear in the number of loaded shards and pending
    /// attempts.
    void advance(Moment moment);

    /// Returns the time at which advance() or next() may have work without a further event.
    std::optional<TimePoint> nextWake() const;

    std::vector<ClaimEvent> takeEvents();

    /// Sets how long keys that are claimed from now on are remembered. Keys are discarded in the
    /// order of their claims: after the retention was reduced, none is discarded before the keys
    /// claimed earlier.
    void setRetention(Duration retention) { m_settings.m_retention = retention; }

    /// Returns the shard of a key. Complexity: constant.
    ShardNumber shardOf(const MemberId &member, std::string_view key) const;

    /// Returns the number of keys in memory, over all loaded shards.
    std::size_t keyCount() const;
    std::size_t loadedShards() const { return m_loaded.size(); }

private:
    detail::ClaimShard &shard(ShardNumber number);
    ClaimTicket claimLocally(const ClaimRequest &request, detail::ClaimRole role,
                             const NodeId &sender, Moment moment);
    ClaimTicket add(const ClaimRequest &request, detail::ClaimRole role, Moment moment);
    void tryClaim(detail::ClaimAttempt &attempt, bool isFresh, Moment moment);
    /// Returns the expiry of a record that is written now.
    WallMillis expiry(Moment moment) const;
    void appendClaim(detail::ClaimAttempt &attempt, Moment moment);
    void decide(detail::ClaimAttempt &attempt, ClaimResult result);
    void grant(detail::ClaimAttempt &attempt, Moment moment);
    void abandonAttempt(detail::ClaimAttempt &attempt, const NotRun &result, Moment moment);
    void appendNotRun(const detail::ClaimAttempt &attempt, Moment moment);
    void recordOutcome(const detail::ClaimAttempt &attempt, Outcome outcome,
                       const StoredAnswer &answer, Moment moment);
    void handle(ShardNumber number, const RecordApplied &event, Moment moment);
    void handle(ShardNumber number, const RecordDropped &event, Moment moment);
    void handle(ShardNumber number, const LogCaughtUp &event, Moment moment);
    void handle(ShardNumber number, const LogGap &event, Moment moment);
    void handle(ShardNumber number, const LogStray &event, Moment moment);
    void handle(ShardNumber number, const LogCorrupt &event, Moment moment);
    void claimApplied(detail::ClaimAttempt &attempt, bool isValid, Moment moment);
    void refuseWaiting(ShardNumber number, const NotRun &result, Moment moment);
    void expireAttempts(Moment moment);
    void dropIdleShards(Moment moment);
    template <typename Problem>
    void reportProblem(ShardNumber number, const Problem &problem);

    ClaimLedgerSettings m_settings;
    std::map<ShardNumber, std::unique_ptr<detail::ClaimShard>> m_loaded;
    std::unique_ptr<detail::ClaimAttempts> m_attempts;
    ShardNumber m_lastServed = 0;
    std::vector<ClaimEvent> m_events;
};

/// Builds a ClaimLedger. Each function sets the setting of ClaimLedgerSettings with its name.
class ClaimLedgerBuilder
{
public:
    explicit ClaimLedgerBuilder(NodeId node, std::string writer)
    {
        m_settings.m_node = std::move(node);
        m_settings.m_writer = std::move(writer);
    }

    ClaimLedgerBuilder &shards(ShardNumber value)
    {
        m_settings.m_shards = value;
        return *this;
    }

    ClaimLedgerBuilder &retention(Duration value)
    {
        m_settings.m_retention = value;
        return *this;
    }

    ClaimLedgerBuilder &clockTolerance(Duration value)
    {
        m_settings.m_clockTolerance = value;
        return *this;
    }

    ClaimLedgerBuilder &claimTimeout(Duration value)
    {
        m_settings.m_claimTimeout = value;
        return *this;
    }

    ClaimLedgerBuilder &retryAfter(Duration value)
    {
        m_settings.m_retryAfter = value;
        return *this;
    }

    ClaimLedgerBuilder &maxAnswerBytes(std::size_t value)
    {
        m_settings.m_maxAnswerBytes = value;
        return *this;
    }

    ClaimLedgerBuilder &shardIdleTimeout(Duration value)
    {
        m_settings.m_shardIdleTimeout = value;
        return *this;
    }

    ClaimLedgerBuilder &writeInterval(Duration value)
    {
        m_settings.m_writeInterval = value;
        return *this;
    }

    ClaimLedgerBuilder &compactionThreshold(std::size_t value)
    {
        m_settings.m_compactionThreshold = value;
        return *this;
    }

    ClaimLedgerBuilder &trimDelay(Duration value)
    {
        m_settings.m_trimDelay = value;
        return *this;
    }

    ClaimLedgerBuilder &endTrustDuration(Duration value)
    {
        m_settings.m_endTrustDuration = value;
        return *this;
    }

    ClaimLedgerBuilder &maxAnswerMemory(std::size_t value)
    {
        m_settings.m_maxAnswerMemory = value;
        return *this;
    }

    ClaimLedger build() const { return ClaimLedger(m_settings); }

private:
    ClaimLedgerSettings m_settings;
};

} // namespace gypsumdale
