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

/// The settings of the ledger of claims.
struct ClaimLedgerSettings
{
    NodeId m_node;
    /// Unique for each life of the process.
    std::string m_writer;
    /// The same on all nodes; changing it forgets all keys.
    ShardNumber m_shards = 64;
    /// How long a key is remembered, from its claim on.
    Duration m_retention = std::chrono::hours(24);
    /// By how much clocks may differ; keys are kept so much longer.
    Duration m_clockTolerance = std::chrono::minutes(5);
    /// The longest a claim waits for the platform, even if its deadline is later.
    Duration m_claimTimeout = std::chrono::seconds(5);
    /// The time to come back that a refusal names if the platform named none.
    Duration m_retryAfter = std::chrono::seconds(1);
    /// Answers above this are not kept; a resubmission then gets the status alone.
    std::size_t m_maxAnswerBytes = 4096;
    /// A shard's state is dropped after this long without use, and replayed when next needed.
    Duration m_shardIdleTimeout = std::chrono::minutes(30);
    /// The least time between two writes to one shard.
    Duration m_writeInterval = std::chrono::milliseconds(200);
    /// Segments of a shard above which its keys are restated, so that older segments can go and a
    /// replay stays short.
    std::size_t m_compactionThreshold = 512;
    /// A segment stays for at least this long, counted from when the node that deletes it saw it.
    /// Far above m_endTrustDuration: a create that was held up for less meets the segment.
    Duration m_trimDelay = std::chrono::minutes(10);
    /// For how long the end of a log, once seen, is taken to be not trimmed away.
    Duration m_endTrustDuration = std::chrono::minutes(1);
    /// Bytes of kept answers in the memory of one shard.
    std::size_t m_maxAnswerMemory = std::size_t{512} * 1024;
};

/// Runs keyed requests at most once, over any number of nodes that share nothing but the platform.
///
/// Each node holds one. A request is claimed by appending a record with its attempt to its shard's
/// log; the first claim of a key in log order stands. Only the node that owns a standing attempt
/// sends it, once, and only after start() agreed right before. A claim without an outcome is never
/// run again: nobody can tell a slow holder from a dead one.
///
/// No lease is involved, so a pause of any length is harmless. What rests on clocks is only the
/// forgetting of keys after the retention.
class ClaimLedger
{
public:
    explicit ClaimLedger(ClaimLedgerSettings settings);
    ~ClaimLedger();
    ClaimLedger(ClaimLedger &&) noexcept;
    ClaimLedger &operator=(ClaimLedger &&) noexcept;

    /// Claims a key for an attempt of this node. The result comes as ClaimDecided, often within
    /// this call.
    ClaimTicket begin(const ClaimRequest &request, Moment moment);

    /// Claims a key for an attempt of another node, which forwarded it here. The result goes back
    /// to that node; this node never sends the attempt. Once NotRun was the result here, the
    /// attempt is dead for everybody.
    ClaimTicket beginForPeer(const ClaimRequest &request, const NodeId &peer, Moment moment);

    /// Registers an attempt of this node whose claim is being forwarded to another one. Ends with
    /// onForwardResult(), or by itself at the deadline or when patience ends: then the attempt is
    /// dead, as in onForwardLost().
    ClaimTicket beginForwarded(const ClaimRequest &request, Moment moment);

    /// Takes the other node's result for a forwarded claim. Ignored if the ticket was decided in
    /// the meantime.
    void onForwardResult(ClaimTicket ticket, const ClaimResult &result, Moment moment);

    /// The reply to a forwarded claim will not come. The attempt, which only this node could send,
    /// is dead, and a NotRun record is appended so that its claim, if it stands, blocks nobody. The
    /// ticket is decided as NotRun; a new begin() with a new attempt may follow at once.
    void onForwardLost(ClaimTicket ticket, Moment moment);

    /// Tells whether a granted attempt may be sent now, to be called right before the first byte.
    /// True at most once for an attempt, and never after its deadline; then the attempt is dead and
    /// recorded as not run.
    bool start(const AttemptId &attempt, Moment moment);

    /// Records how a started attempt ended. Done keeps the answer, if it is small enough. An
    /// attempt that was granted but never started may only end as NotRun.
    void finish(const AttemptId &attempt, Outcome outcome, const StoredAnswer &answer,
                Moment moment);

    /// Appends a record that another node forwarded here (RecordToForward). Fails with
    /// PeerMalformed for bytes that are not such a record, and with QueueFull.
    Result<Done> appendForPeer(ShardNumber number, std::string_view record, Moment moment);

    /// Returns a command to carry out now, if any; call it until it returns nothing. Each command
    /// needs exactly one onAnswer().
    std::optional<ShardCommand> next(Moment moment);

    void onAnswer(ShardNumber shard, const LogAnswer &answer, Moment moment);

    /// Applies the passing of time: decides what waited too long, drops idle shards. Call it at
    /// nextWake(). Linear in the loaded shards and what waits.
    void advance(Moment moment);

    /// Returns when advance() or next() may have something to do without any further event.
    std::optional<TimePoint> nextWake() const;

    std::vector<ClaimEvent> takeEvents();

    /// Sets how long keys claimed from now on are remembered. Keys are forgotten in the order of
    /// their claims, so after a cut in the retention none is forgotten before those ahead of it.
    void setRetention(Duration retention) { m_settings.m_retention = retention; }

    /// Returns the shard of a key. Constant.
    ShardNumber shardOf(const MemberId &member, std::string_view key) const;

    /// Keys held in memory, over all loaded shards.
    std::size_t keyCount() const;
    std::size_t loadedShards() const { return m_loaded.size(); }

private:
    detail::ClaimShard &shard(ShardNumber number);
    ClaimTicket claimHere(const ClaimRequest &request, detail::ClaimRole role, const NodeId &sender,
                          Moment moment);
    ClaimTicket add(const ClaimRequest &request, detail::ClaimRole role, Moment moment);
    void tryClaim(detail::ClaimAttempt &attempt, bool isFresh, Moment moment);
    /// When a record of now is forgotten.
    WallMillis expiry(Moment moment) const;
    void appendClaim(detail::ClaimAttempt &attempt, Moment moment);
    void decide(detail::ClaimAttempt &attempt, ClaimResult result);
    void grant(detail::ClaimAttempt &attempt, Moment moment);
    void giveUp(detail::ClaimAttempt &attempt, const NotRun &result, Moment moment);
    void appendNotRun(const detail::ClaimAttempt &attempt, Moment moment);
    void recordOutcome(const detail::ClaimAttempt &attempt, Outcome outcome,
                       const StoredAnswer &answer, Moment moment);
    void handle(ShardNumber number, const RecordApplied &event, Moment moment);
    void handle(ShardNumber number, const RecordDropped &event, Moment moment);
    void handle(ShardNumber number, const LogCaughtUp &event, Moment moment);
    void handle(ShardNumber number, const LogGap &event, Moment moment);
    void handle(ShardNumber number, const LogStray &event, Moment moment);
    void handle(ShardNumber number, const LogCorrupt &event, Moment moment);
    void claimApplied(detail::ClaimAttempt &attempt, bool stands, Moment moment);
    void refuseWaiting(ShardNumber number, const NotRun &result, Moment moment);
    void expireAttempts(Moment moment);
    void dropIdleShards(Moment moment);
    template <typename Trouble>
    void reportTrouble(ShardNumber number, const Trouble &trouble);

    ClaimLedgerSettings m_settings;
    std::map<ShardNumber, std::unique_ptr<detail::ClaimShard>> m_loaded;
    std::unique_ptr<detail::ClaimAttempts> m_attempts;
    ShardNumber m_lastServed = 0;
    std::vector<ClaimEvent> m_events;
};

/// Builds a ledger. Each function sets the setting of ClaimLedgerSettings that has its name.
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
