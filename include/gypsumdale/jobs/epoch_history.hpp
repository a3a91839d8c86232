#pragma once

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// The position of a caller in an answer: the epoch of its last token and its number of tokens. Its
/// text form is "EPOCH:OFFSET".
struct AnswerPosition
{
    std::int64_t m_epoch = 0;
    std::int64_t m_offset = 0;

    friend bool operator==(const AnswerPosition &, const AnswerPosition &) = default;
};

/// Formats a position as "EPOCH:OFFSET". Complexity: constant.
std::string toText(const AnswerPosition &position);

/// Parses a position; returns nothing for any other text. Complexity: linear.
std::optional<AnswerPosition> parsePosition(std::string_view text);

/// All tokens of the caller are part of this answer; its next token has this offset.
struct ContinueAt
{
    std::int64_t m_offset = 0;

    friend bool operator==(const ContinueAt &, const ContinueAt &) = default;
};

/// The caller's tokens after the offset come from a generation that was lost. The caller discards
/// them and continues from the offset in the given epoch.
struct DiscardAfter
{
    std::int64_t m_epoch = 0;
    std::int64_t m_offset = 0;

    friend bool operator==(const DiscardAfter &, const DiscardAfter &) = default;
};

/// The caller's epoch is unknown: the caller discards all its tokens and starts at offset 0.
struct UnknownEpoch
{
    friend bool operator==(const UnknownEpoch &, const UnknownEpoch &) = default;
};

using EpochCheck = std::variant<ContinueAt, DiscardAfter, UnknownEpoch>;

/// The epochs of one answer in order, each with the offset of its first token, modelled on the
/// leader epoch cache of KIP-320. A caller that has tokens after the start of the epoch that
/// follows its own has tokens of a lost generation.
class EpochHistory
{
public:
    /// The start of an epoch.
    struct Start
    {
        std::int64_t m_epoch = 0;
        std::int64_t m_offset = 0;

        friend bool operator==(const Start &, const Start &) = default;
    };

    /// Adds an epoch that starts at an offset. Earlier epochs that started after this offset stay
    /// in the list, so that their callers are recognised and discard their tokens back to it.
    /// Complexity: amortised constant.
    void begin(std::int64_t epoch, std::int64_t offset);

    /// Returns how a caller at (epoch, offset) continues; `end` is the number of tokens of the
    /// answer so far. Epochs need not be consecutive, but an epoch that is not in the list is
    /// unknown: when two nodes continue from the same point without the platform, each has its own
    /// epoch, and the two must not be mistaken for each other. Complexity: linear in the number of
    /// epochs.
    EpochCheck check(std::int64_t epoch, std::int64_t offset, std::int64_t end) const;

    /// Returns the current epoch, or 0 if there is none. Complexity: constant.
    std::int64_t current() const;

    /// Returns the epoch of the token at an offset. Complexity: linear in the number of epochs.
    std::int64_t epochAt(std::int64_t offset) const;

    const std::vector<Start> &starts() const { return m_starts; }

    friend bool operator==(const EpochHistory &, const EpochHistory &) = default;

private:
    std::vector<Start> m_starts;
};

} // namespace gypsumdale
