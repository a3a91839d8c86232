#pragma once

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_text.hpp>

#include <cstdint> // int64_t, uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// One token event of an engine's stream. The views live as long as the data that they were parsed
/// from.
struct TokenEvent
{
    std::string_view m_attempt;
    std::int64_t m_index = 0;
    std::string_view m_text;
    /// Empty in all but the last event.
    std::string_view m_finishReason;
};

/// Result of adding an event to an answer.
enum class EventVerdict { Taken, OtherAttempt, Duplicate, Gap, AfterFinish };

inline constexpr NameTable<EventVerdict, 5> eventVerdictNames{{
        {EventVerdict::Taken, "taken"},
        {EventVerdict::OtherAttempt, "other-attempt"},
        {EventVerdict::Duplicate, "duplicate"},
        {EventVerdict::Gap, "gap"},
        {EventVerdict::AfterFinish, "after-finish"},
}};

/// Numbers of events by verdict.
struct AssemblerCounters
{
    std::uint64_t m_taken = 0;
    std::uint64_t m_otherAttempt = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_gaps = 0;
    std::uint64_t m_afterFinish = 0;
};

/// Assembles the answer to one request from the events of its attempts, which run one after
/// another.
///
/// Events of another attempt, duplicates and events after the finish reason are dropped and
/// counted. A missing token fails the attempt. The text received so far is kept across attempts, so
/// that the next attempt resumes after it.
class AnswerAssembler
{
public:
    AnswerAssembler() = default;

    /// Starts with the part of the answer that an earlier owner had received.
    explicit AnswerAssembler(AnswerText soFar);

    /// Accepts events of `attempt` only from now on. Resets the failure and the finish of the
    /// previous attempt and keeps the text. Complexity: constant.
    void beginAttempt(std::string attempt);

    /// Adds one event. After a gap, all further events of the attempt are dropped as gaps too. An
    /// event with a finish reason and no text adds no token. Complexity: amortised linear in the
    /// event's text.
    EventVerdict addEvent(const TokenEvent &event);

    /// Records the end marker of the stream of `attempt`. Complexity: constant.
    EventVerdict receiveEndMarker(std::string_view attempt);

    /// Returns whether the finish reason and the end marker arrived without a gap. Complexity:
    /// constant.
    bool hasCompleteAnswer() const { return m_ended && !m_finishReason.empty() && !m_failed; }

    /// Returns how the attempt ended, to be called when its connection has ended: success, or
    /// AnswerTruncated with the reason. Complexity: constant.
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
