#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

#include <ledger_types.h>

#include <cstddef> // size_t
#include <deque> // deque
#include <optional> // optional
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::detail {

/// The state of one key in the log.
struct ClaimEntry
{
    Digest m_body{};
    /// The attempt of the valid claim, or nothing after it was found not to have run.
    std::optional<AttemptId> m_validAttempt;
    std::optional<Outcome> m_outcome;
    StoredAnswer m_answer;
    /// Attempts that will never run; a later claim of theirs is not valid.
    std::vector<AttemptId> m_dead;
    WallMillis m_expiry = 0;
};

/// The state of one shard as replayed from its log. The same log gives the same state at every
/// reader, except for the time at which keys are discarded.
///
/// A key is discarded only when both the latest time in the log and the reader's own clock are past
/// its expiry by the tolerance, and every claim of the key, even one that is not valid, extends the
/// expiry. Two readers that disagree on the time therefore can't both see the key as free: the
/// later one finds the claim of the other, whose expiry is a full retention ahead.
class ClaimTable
{
public:
    ClaimTable(Duration tolerance, std::size_t maxAnswerBytes);

    /// Begins a segment, whose records follow.
    void beginSegment(SegmentNumber number, WallMillis writtenAt, WallMillis wall);

    /// Applies a claim and returns whether it is valid.
    bool apply(const wire::ClaimRecord &claim);

    void apply(const wire::OutcomeRecord &outcome);

    /// Applies what another reader knew of a key at an earlier position of the log. For a reader of
    /// the full log it contains nothing new. For a reader that starts with the restated segments,
    /// the restated attempt came before every claim that it has read, so that it takes precedence
    /// over them, unless it was since found to be dead.
    void apply(const wire::RestatedRecord &restated);

    /// Returns the keys that must be restated before older segments can be deleted.
    std::vector<Digest> claimedKeys() const;

    /// Returns the restated record of a key, or nothing if it has no valid attempt any more.
    std::optional<wire::RestatedRecord> restate(const Digest &key) const;

    /// Returns the state of a key, or null.
    const ClaimEntry *find(const Digest &key) const;

    /// Removes expired keys and returns the first segment with a record that has not expired.
    /// Complexity: linear in the number of removed keys.
    SegmentNumber removeExpired(WallMillis wall);

    std::size_t size() const { return m_entries.size(); }

private:
    struct DigestHash
    {
        std::size_t operator()(const Digest &digest) const noexcept;
    };

    struct SegmentExpiry
    {
        SegmentNumber m_number = 0;
        WallMillis m_expiry = 0;
    };

    struct KeyExpiry
    {
        Digest m_key{};
        WallMillis m_expiry = 0;
    };

    bool isExpired(WallMillis expiry, WallMillis wall) const;
    ClaimEntry &touch(const Digest &key, WallMillis expiry);
    template <typename Record>
    void keepAnswer(ClaimEntry &entry, const Record &record);
    void dropAnswer(ClaimEntry &entry);

    WallMillis m_tolerance;
    std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    WallMillis m_logTime = 0;
    std::unordered_map<Digest, ClaimEntry, DigestHash> m_entries;
    std::deque<SegmentExpiry> m_segments;
    std::deque<KeyExpiry> m_expiries;
};

/// Returns the result for a request whose key belongs to the entry's valid attempt.
ClaimResult resultOf(const ClaimEntry &entry, const Digest &body);

} // namespace gypsumdale::detail
