#pragma once

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_text.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// One event of an engine's stream. The views live as long as what they were parsed from.
struct TokenEvent
{
    std::string_view m_attempt;
    std::int64_t m_index = 0;
    std::string_view m_text;
    /// Empty until the last event.
    std::string_view m_finishReason;
};

/// What became of an event.
enum class EventVerdict { Taken, OtherAttempt, Duplicate, Gap, AfterFinish };

inline constexpr NameTable<EventVerdict, 5> eventVerdictNames{{
        {EventVerdict::Taken, "taken"},
        {EventVerdict::OtherAttempt, "other-attempt"},
        {EventVerdict::Duplicate, "duplicate"},
        {EventVerdict::Gap, "gap"},
        {EventVerdict::AfterFinish, "after-finish"},
}};

/// How many events were not taken, by the reason.
struct AssemblerCounters
{
    std::uint64_t m_taken = 0;
    std::uint64_t m_otherAttempt = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_gaps = 0;
    std::uint64_t m_afterFinish = 0;
};

/// Puts one request's answer together from the events of its attempts, one attempt after another.
/// An event of another attempt, one seen before and one behind the finish are dropped and counted;
/// one that leaves a gap fails the attempt. The text so far outlives an attempt, so that the next
/// one resumes behind it.
class AnswerAssembler
{
public:
    AnswerAssembler() = default;

    /// Begins with what an earlier owner had of the answer.
    explicit AnswerAssembler(AnswerText soFar);

    /// Makes `attempt` the only attempt whose events count. Clears the failure and the finish of
    /// the attempt before it, not the text. Constant.
    void beginAttempt(std::string attempt);

    /// Takes one event. After a gap, all further events of the attempt are dropped as gaps too.
    /// Amortised linear in the event's text. An event with a finish reason and no text adds no
    /// token.
    EventVerdict addEvent(const TokenEvent &event);

    /// Takes the end marker of a stream that belongs to `attempt`. Constant.
    EventVerdict receiveEndMarker(std::string_view attempt);

    /// Tells whether finish reason and end marker were both seen, without a gap. Constant.
    bool hasCompleteAnswer() const { return m_ended && !m_finishReason.empty() && !m_failed; }

    /// Tells how the attempt ended, once its connection is at its end: nothing wrong, or
    /// AnswerTruncated with the reason. Constant.
    Result<Done> attemptResult() const;

    const AnswerText &answer() const { return m_answer; }
    const std::string &attempt() const { return m_attempt; }
    const std::string &finishReason() const { return m_finishReason; }
    const AssemblerCounters &counters() const { return m_counters; }

private:
    std::string m_attempt;
    AnswerText m_answer;
    std::string m_finishReason;
    bool m_ended = false;
    bool m_failed = false;
    AssemblerCounters m_counters;
};

} // namespace gypsumdale
