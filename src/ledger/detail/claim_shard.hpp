#pragma once

#include "claim_table.hpp"

#include <gypsumdale/ledger/claim_ledger.hpp>
#include <gypsumdale/ledger/platform_log.hpp>

#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <vector> // vector

namespace gypsumdale::detail {

/// One shard of the claims: its log, the state replayed from it, and its compaction.
class ClaimShard
{
public:
    explicit ClaimShard(const ClaimLedgerSettings &settings);

    PlatformLog &log() { return m_log; }
    const PlatformLog &log() const { return m_log; }
    const ClaimTable &table() const { return m_table; }

    /// Links a record that is being appended to its attempt.
    void link(LogTicket ticket, const AttemptId &attempt) { m_links[ticket] = attempt; }

    /// Removes the link of a record and returns its attempt.
    std::optional<AttemptId> unlink(LogTicket ticket);

    /// Applies a record of the log; for a claim, returns whether it is valid. Fails with
    /// PeerMalformed on bytes that this version can't decode; the shard is unusable from then on.
    Result<bool> apply(const RecordApplied &event, Moment moment);

    /// Restates keys, permits trimming and removes expired keys.
    void maintain(Moment moment);

    /// Returns whether a record could not be decoded, so that claims may be missing in the table.
    /// Nothing is granted then; a process whose version knows the record must serve the shard.
    bool isUnusable() const { return m_unusable; }

    void touch(TimePoint now) { m_lastUse = now; }
    bool isIdle(TimePoint now, Duration limit) const;

private:
    struct SeenSegment
    {
        SegmentNumber m_number = 0;
        TimePoint m_at;
    };

    /// Keys that are being restated in new segments.
    struct Compaction
    {
        /// Segments up to this one can be deleted when the compaction is complete.
        SegmentNumber m_lastSegment = 0;
        std::vector<Digest> m_keys;
        std::set<LogTicket> m_waiting;
    };

    void recordSegment(const RecordApplied &event, Moment moment);
    void startCompaction();
    void continueCompaction();
    void permitTrimming(Moment moment);

    std::size_t m_compactionThreshold;
    Duration m_trimDelay;
    PlatformLog m_log;
    ClaimTable m_table;
    std::map<LogTicket, AttemptId> m_links;
    std::deque<SeenSegment> m_seen;
    std::optional<Compaction> m_compaction;
    /// Segments up to this one are restated in later ones.
    SegmentNumber m_restatedUpTo = 0;
    /// Number of segments of the last restatement.
    std::size_t m_restatedSegments = 0;
    SegmentNumber m_lastOwn = 0;
    TimePoint m_lastUse;
    bool m_unusable = false;
};

} // namespace gypsumdale::detail
