#include <gypsumdale/jobs/answer_assembler.hpp>

#include <utility> // move

namespace gypsumdale {

AnswerAssembler::AnswerAssembler(AnswerText soFar)
    : m_answer(std::move(soFar))
{}

void AnswerAssembler::beginAttempt(std::string attempt)
{
    m_attempt = std::move(attempt);
    m_finishReason.clear();
    m_ended = false;
    m_failed = false;
}

EventVerdict AnswerAssembler::addEvent(const TokenEvent &event)
{
    // A late or misrouted answer on a reused connection carries the id of another attempt. Adding
    // its text would show one caller the answer of another.
    if (event.m_attempt != m_attempt) {
        ++m_counters.m_otherAttempt;
        return EventVerdict::OtherAttempt;
    }
    if (m_failed || event.m_index > m_answer.tokens()) {
        m_failed = true;
        ++m_counters.m_gaps;
        return EventVerdict::Gap;
    }
    if (event.m_index < m_answer.tokens()) {
        ++m_counters.m_duplicates;
        return EventVerdict::Duplicate;
    }
    if (!m_finishReason.empty()) {
        ++m_counters.m_afterFinish;
        return EventVerdict::AfterFinish;
    }
    const bool isFinishOnly = event.m_text.empty() && !event.m_finishReason.empty();
    if (!isFinishOnly)
        m_answer.append(event.m_text);
    m_finishReason = event.m_finishReason;
    ++m_counters.m_taken;
    return EventVerdict::Taken;
}

EventVerdict AnswerAssembler::receiveEndMarker(std::string_view attempt)
{
    if (attempt != m_attempt) {
        ++m_counters.m_otherAttempt;
        return EventVerdict::OtherAttempt;
    }
    m_ended = true;
    return EventVerdict::Taken;
}

Result<Done> AnswerAssembler::attemptResult() const
{
    if (m_failed)
        return Error{ErrorId::AnswerTruncated, "tokens are missing in the answer"};
    if (m_finishReason.empty())
        return Error{ErrorId::AnswerTruncated, "the answer ended without a finish reason"};
    if (!m_ended)
        return Error{ErrorId::AnswerTruncated, "the answer ended without its end marker"};
    return Done{};
}

} // namespace gypsumdale
