#include <entry/entry_call.hpp>

/// What is recorded of attempts that fail.
namespace gypsumdale {

namespace {

/// Returns what a failed attempt says of its upstream. One that resets a connection before it can
/// have read anything has too many of them, and serves the requests that it has.
AttemptResult attemptResult(const CallFailure &failure)
{
    const bool isReset = failure.m_error.m_id == ErrorId::ConnectionClosed;
    return isReset && failure.m_phase == SendPhase::NothingSent ? AttemptResult::Refused
                                                                : AttemptResult::Broken;
}

} // namespace

/// Returns the name of the limit that an attempt exceeded, for the log.
std::string_view EntryCall::exceededLimit(const CallFailure &failure) const
{
    if (failure.m_error.m_id == ErrorId::TermOver)
        return "term";
    if (failure.m_error.m_id != ErrorId::UpstreamSilent)
        return "none";
    if (timeLeft() < minTimeLeft)
        return "deadline";
    return m_events > 0 ? "pause" : "first-answer";
}

/// Returns whether an attempt ended because this process is shutting down, which isn't counted
/// against its upstream.
bool EntryCall::isCancelledByShutdown(const CallFailure &failure) const
{
    return failure.m_error.m_id == ErrorId::Cancelled && m_isShuttingDown;
}

/// Counts an attempt that ended at its placement deadline. Returns true if nothing had been sent:
/// then it isn't counted against the upstream, which may be selected again unless it is leaving.
bool EntryCall::recordDeadlinePassed(const PooledUpstream &upstream, const CallFailure &failure)
{
    if (failure.m_error.m_id != ErrorId::TermOver)
        return false;
    const bool isUnsent = failure.m_phase == SendPhase::NothingSent;
    m_traffic.metrics().add(isUnsent ? Counter::TermOverUnsent : Counter::RequestsTakenBack);
    if (isUnsent)
        m_triedUpstreams.erase(upstream.m_record.m_id);
    return isUnsent;
}

/// Returns whether an attempt ended because its caller has left.
bool EntryCall::isCancelledByCaller(const CallFailure &failure) const
{
    return failure.m_error.m_id == ErrorId::Cancelled && m_isCallerGone;
}

/// Records an attempt that failed before its answer began.
void EntryCall::recordAttemptFailure(InFlightGuard &guard, const CallFailure &failure)
{
    if (isCancelledByCaller(failure))
        return;
    countTooLarge(failure);
    m_errorKind.reset();
    countFailedAttempt(failure);
    reportBroken(guard.upstream(), failure, RunStage::Waiting);
    recordUpstreamFailure(guard.upstream(), failure);
}

/// Records what a failed attempt says of its upstream.
void EntryCall::recordUpstreamFailure(PooledUpstream &upstream, const CallFailure &failure)
{
    const bool isUnsent = recordDeadlinePassed(upstream, failure);
    if (!isCancelledByShutdown(failure) && !isUnsent && !failure.m_isMemoryUsedUp)
        UpstreamPool::note(upstream, attemptResult(failure), m_traffic.now());
    recordConnectFailure(upstream, failure);
    logAttemptFailure(upstream, failure);
}

void EntryCall::logAttemptFailure(const PooledUpstream &upstream, const CallFailure &failure)
{
    m_traffic.log().warning("attempt-failed",
                            {m_caller.m_id,
                             upstream.m_record.m_id,
                             {LogField::ErrorName, errorName(failure.m_error.m_id)},
                             {LogField::Text, failure.m_error.m_text},
                             {LogField::Reason, exceededLimit(failure)},
                             {LogField::UnacknowledgedBytes, failure.m_unacknowledgedBytes},
                             {LogField::Outcome, outcomeName(failure)}});
}

/// Records an answer that broke off after it had begun. A relay passes on the break of a stream's
/// upstream, which says nothing of the relay.
void EntryCall::recordBrokenAnswer(UpstreamAnswer &answer, const CallFailure &failure)
{
    if (isCancelledByCaller(failure))
        return;
    countTooLarge(failure);
    recordVersionFailure(answer, failure);
    m_errorKind.reset();
    recordTimeout(failure);
    if (!answer.m_isRelayed)
        reportBroken(answer.m_guard.upstream(), failure, answer.m_stage);
    const bool isRelayedStream = answer.m_isRelayed && m_route->m_kind == RouteRepeatSafety::Stream;
    if (isRelayedStream && failure.m_error.m_id != ErrorId::Cancelled)
        logRelayFailure(answer.m_guard.upstream(), failure);
    else
        recordUpstreamFailure(answer.m_guard.upstream(), failure);
}

/// Counts an answer that was given up because of its size, or of that of all answers together.
void EntryCall::countTooLarge(const CallFailure &failure)
{
    if (failure.m_isAnswerTooLarge || failure.m_isMemoryUsedUp)
        m_traffic.metrics().add(Counter::AnswersTooLarge);
}

void EntryCall::countFailedAttempt(const CallFailure &failure)
{
    m_attempts.recordFailure(failure.m_phase, failure.m_error.m_id == ErrorId::Timeout);
    if (failure.m_phase != SendPhase::NothingSent)
        recordTimeout(failure);
}

/// Records whether the last attempt that may have run ended by its limit.
void EntryCall::recordTimeout(const CallFailure &failure)
{
    m_timedOut = failure.m_error.m_id == ErrorId::UpstreamSilent;
}

std::string_view EntryCall::outcomeName(const CallFailure &failure)
{
    return failure.m_phase == SendPhase::NothingSent ? "not-run" : "may-have-run";
}

/// Records that an upstream could not be reached, if that is why an attempt failed.
void EntryCall::recordConnectFailure(const PooledUpstream &upstream, const CallFailure &failure)
{
    const bool isRefused = failure.m_error.m_id == ErrorId::UpstreamUnreachable;
    const bool isUnanswered = failure.m_error.m_id == ErrorId::Timeout && m_hasFullConnectTime;
    if (failure.m_phase == SendPhase::NothingSent && (isRefused || isUnanswered))
        m_traffic.relay().recordUnreachable(upstream);
}

} // namespace gypsumdale
