#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

#include <ledger_types.h>

#include <cstddef> // size_t
#include <deque> // deque
#include <optional> // optional
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::detail {

/// What the log says of one key.
struct ClaimEntry
{
    Digest m_body{};
    /// The attempt whose claim stands, or nothing after it turned out not to have run.
    std::optional<AttemptId> m_standing;
    std::optional<Outcome> m_outcome;
    StoredAnswer m_answer;
    /// Attempts that will never run; a claim of theirs that comes later does not stand.
    std::vector<AttemptId> m_dead;
    WallMillis m_expiry = 0;
};

/// The state of one shard as the replay of its log gives it. The same log gives the same state at
/// every reader, but for when keys are forgotten.
///
/// A key is forgotten only when both the latest time in the log and the reader's own clock are past
/// its expiry by the tolerance, and every claim of it, even one that lost, moves the expiry on. So
/// two readers that disagree on the time can't both see the key free: the later one finds the
/// other's claim, whose expiry is a whole retention ahead.
class ClaimTable
{
public:
    ClaimTable(Duration tolerance, std::size_t maxAnswerBytes);

    /// Takes note of a segment whose records follow.
    void beginSegment(SegmentNumber number, WallMillis writtenAt, WallMillis wall);

    /// Applies a claim and tells whether it stands.
    bool apply(const wire::ClaimRecord &claim);

    void apply(const wire::OutcomeRecord &outcome);

    /// Applies what another reader knew of a key at an earlier place of the log. For a reader of
    /// the whole log it says nothing new. For one that starts behind the restated segments, the
    /// restated attempt came before every claim it has seen, so that it stands in their place,
    /// unless it was seen to be dead since.
    void apply(const wire::RestatedRecord &restated);

    /// Returns the keys that must be restated before older segments can go.
    std::vector<Digest> standingKeys() const;

    /// Returns the restatement of a key, or nothing if no attempt of it stands any more.
    std::optional<wire::RestatedRecord> restate(const Digest &key) const;

    /// Returns what is known of a key, or null.
    const ClaimEntry *find(const Digest &key) const;

    /// Forgets expired keys; returns the first segment with a record that has not expired. Constant
    /// but for what is forgotten.
    SegmentNumber forgetExpired(WallMillis wall);

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

/// The answer to a request whose key is taken by the entry's standing attempt.
ClaimResult resultOf(const ClaimEntry &entry, const Digest &body);

} // namespace gypsumdale::detail
