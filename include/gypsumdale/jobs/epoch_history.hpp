#pragma once

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Where a caller is in an answer: the epoch of the last token it has, and how many tokens it has.
/// Written "EPOCH:OFFSET".
struct AnswerPosition
{
    std::int64_t m_epoch = 0;
    std::int64_t m_offset = 0;

    friend bool operator==(const AnswerPosition &, const AnswerPosition &) = default;
};

/// Writes a position as "EPOCH:OFFSET". Constant.
std::string toText(const AnswerPosition &position);

/// Reads a position; nothing for a text that is none. Linear.
std::optional<AnswerPosition> parsePosition(std::string_view text);

/// The caller's tokens are all of this answer; the next one has this offset.
struct ContinueAt
{
    std::int64_t m_offset = 0;

    friend bool operator==(const ContinueAt &, const ContinueAt &) = default;
};

/// The caller's tokens behind the offset come from a generation that was lost. It drops them and
/// goes on from there in the epoch named.
struct DiscardAfter
{
    std::int64_t m_epoch = 0;
    std::int64_t m_offset = 0;

    friend bool operator==(const DiscardAfter &, const DiscardAfter &) = default;
};

/// Nothing is known of the caller's epoch: it drops all it has and starts at 0.
struct UnknownEpoch
{
    friend bool operator==(const UnknownEpoch &, const UnknownEpoch &) = default;
};

using EpochCheck = std::variant<ContinueAt, DiscardAfter, UnknownEpoch>;

/// The epochs of one answer in order, each with the offset of its first token, after the leader
/// epoch cache of KIP-320. A caller that has tokens behind the start of the epoch that follows its
/// own has tokens of a lost generation.
class EpochHistory
{
public:
    struct Start
    {
        std::int64_t m_epoch = 0;
        std::int64_t m_offset = 0;

        friend bool operator==(const Start &, const Start &) = default;
    };

    /// Begins an epoch at an offset. Epochs that began behind that offset keep their entry, so that
    /// their callers are known and cut back to it. Constant, amortised.
    void begin(std::int64_t epoch, std::int64_t offset);

    /// Tells how a caller at (epoch, offset) goes on. `end` is the number of tokens of the answer
    /// so far. Epochs need not be consecutive, but one that is not in the list is unknown: when two
    /// nodes go on from the same point without the platform, each has an epoch of its own, and none
    /// may pass for the other. Linear in the epochs.
    EpochCheck check(std::int64_t epoch, std::int64_t offset, std::int64_t end) const;

    /// Returns the epoch that runs now, 0 if none has begun. Constant.
    std::int64_t current() const;

    /// Returns the epoch that the token at an offset came from. Linear in the epochs.
    std::int64_t epochAt(std::int64_t offset) const;

    const std::vector<Start> &starts() const { return m_starts; }

    friend bool operator==(const EpochHistory &, const EpochHistory &) = default;

private:
    std::vector<Start> m_starts;
};

} // namespace gypsumdale
