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

/// One shard of the claims: its log, the state replayed from it, and the care for its length.
class ClaimShard
{
public:
    explicit ClaimShard(const ClaimLedgerSettings &settings);

    PlatformLog &log() { return m_log; }
    const PlatformLog &log() const { return m_log; }
    const ClaimTable &table() const { return m_table; }

    /// Remembers which attempt a record in the log is about.
    void link(LogTicket ticket, const AttemptId &attempt) { m_links[ticket] = attempt; }

    /// Returns the attempt that a record is about and forgets the link.
    std::optional<AttemptId> unlink(LogTicket ticket);

    /// Applies a record of the log; for a claim, tells whether it stands. Fails with PeerMalformed
    /// on bytes that this version can't read; the shard is not usable from then on.
    Result<bool> apply(const RecordApplied &event, Moment moment);

    /// Restates keys, permits trimming, forgets expired keys.
    void maintain(Moment moment);

    /// A record could not be read, so that claims may be missing from the table. Nothing is granted
    /// then; a process that knows the record must serve the shard.
    bool isUnusable() const { return m_unusable; }

    void touch(TimePoint now) { m_lastUse = now; }
    bool isIdle(TimePoint now, Duration limit) const;

private:
    struct SeenSegment
    {
        SegmentNumber m_number = 0;
        TimePoint m_at;
    };

    /// Keys on their way into new segments.
    struct Compaction
    {
        /// All up to this segment can go when it is done.
        SegmentNumber m_covers = 0;
        std::vector<Digest> m_keys;
        std::set<LogTicket> m_waiting;
    };

    void noteSegment(const RecordApplied &event, Moment moment);
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
    SegmentNumber m_covered = 0;
    /// Segments that the last restatement took.
    std::size_t m_restatedSegments = 0;
    SegmentNumber m_lastOwn = 0;
    TimePoint m_lastUse;
    bool m_unusable = false;
};

} // namespace gypsumdale::detail
