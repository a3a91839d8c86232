#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <fmt/format.h>

/// How a request ends, and what is logged about it.
namespace gypsumdale {

namespace {

/// Callers are asked to retry within this range, spread so that they don't return at the same time.
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
constexpr Duration retryDelaySpread = std::chrono::milliseconds(350);
/// Retry delay of a request that other VMs can take at once.
constexpr Duration retryElsewhereDelay = std::chrono::milliseconds(20);

std::string_view stateOf(const PooledUpstream &upstream)
{
    if (upstream.m_isReplaced)
        return "replaced";
    if (upstream.m_isGone)
        return "gone";
    return upstream.m_record.m_isDraining ? "draining" : "ready";
}

} // namespace

/// Ends a request that no upstream answered successfully.
void EntryCall::finishUnserved(AttemptStop stop)
{
    m_connectionPlace.reset();
    m_hedges.drop();
    if (stop == AttemptStop::CallerGone) {
        m_series->add(RequestCounter::Cancelled);
        logEnd("caller-gone", 0);
        return;
    }
    if (stop == AttemptStop::NoSameVersion)
        m_traffic.metrics().add(Counter::NoUpstreamOfVersion);
    countVersionError();
    if (m_hasStreamStarted && !m_responder.takeBack()) {
        // The end marker is left out, so that the caller sees a stream that was cut off, not a
        // regular end.
        m_series->add(RequestCounter::Failed);
        logEnd("stream-cut", 0);
        m_responder.abandon();
        return;
    }
    if (m_fallback) {
        forwardAnswer(*m_fallback);
        return;
    }
    if (m_attempts.mayHaveRun()) {
        m_series->add(RequestCounter::OutcomeUnknown);
        sendOwnAnswer(m_timedOut ? statusGatewayTimeout : statusBadGateway, "outcome-unknown");
        return;
    }
    if (m_peerReply) {
        sendReply(*m_peerReply, enumName(attemptStopNames, AttemptStop::AnsweredByPeer));
        return;
    }
    if (refuseRelay(stop))
        return;
    if (stop == AttemptStop::Quarantined && rejectIfQuarantined())
        return;
    const Duration delay =
            stop == AttemptStop::Stopping ? retryElsewhereDelay : m_stopRetryAfter + retryAfter();
    sendOwnAnswer(statusUnavailable, enumName(attemptStopNames, stop), delay);
}

Duration EntryCall::retryAfter()
{
    return minRetryDelay
           + std::chrono::duration_cast<Duration>(retryDelaySpread * m_traffic.random());
}

void EntryCall::sendOwnAnswer(int status, std::string_view reason, Duration retryAfter)
{
    sendReply(platform::ownReply(status, m_caller.m_id, reason, retryAfter), reason);
}

/// Sends an answer of this VM or of a peer that relayed the request.
void EntryCall::sendReply(const HttpReply &reply, std::string_view reason)
{
    m_connectionPlace.reset();
    m_responder.send(reply);
    const bool isRefusal =
            reply.m_status == statusUnavailable || reply.m_status == statusTooManyRequests;
    if (m_series)
        m_series->add(isRefusal ? RequestCounter::Refused : RequestCounter::Failed);
    logEnd(reason, reply.m_status);
}

void EntryCall::forwardAnswer(const HttpReply &reply)
{
    if (!m_responder.send(reply)) {
        finishUnserved(AttemptStop::CallerGone);
        return;
    }
    const bool isDone = reply.m_status < 500;
    m_series->record(Latency::Total, m_traffic.now() - m_arrivedAt);
    m_series->add(isDone ? RequestCounter::Done : RequestCounter::Failed);
    if (reply.m_status / 100 == 2)
        recordCompletion();
    logEnd(isDone ? "done" : "upstream-error", reply.m_status);
}

void EntryCall::logPlaced(const PooledUpstream &upstream, TimePoint until)
{
    m_traffic.log().info(
            "request-placed",
            {m_caller.m_id,
             digest(),
             {LogField::Route, m_route->m_name},
             {LogField::ConfigVersion, m_view->config().m_version},
             {LogField::PromptTokens, m_caller.m_promptTokens},
             {LogField::PromptParts, fmt::format("{}", fmt::join(m_caller.m_promptParts, ","))},
             {LogField::OutputTokens, m_caller.m_outputTokens},
             upstream.m_record.m_id,
             {LogField::UpstreamDataCentre, upstream.m_record.m_dataCentre},
             {LogField::State, stateOf(upstream)},
             upstream.m_record.m_softwareVersion,
             {LogField::Revision, m_traffic.pool().revision()},
             {LogField::ListAgeMillis, toMillis(m_traffic.listAge())},
             {LogField::TermMillis, toMillis(until - m_traffic.now())},
             {LogField::Running, upstream.m_own.m_running},
             {LogField::OthersRunning, upstream.m_peerTotal.m_running},
             {LogField::AgeMillis, toMillis(m_traffic.pool().reportAge(m_traffic.now()))},
             {LogField::Attempt, nextAttempt()},
             {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
             {LogField::BudgetLeft, m_traffic.allowance().left(m_service, m_traffic.now())}});
}

void EntryCall::logEnd(std::string_view outcome, int status)
{
    const bool isGood = outcome == "done";
    const std::initializer_list<LogFieldValue> fields = {
            m_caller.m_id,
            {LogField::Route, m_route ? std::string_view(m_route->m_name) : "none"},
            {LogField::Account, m_account ? std::string_view(m_account->m_id.text()) : "none"},
            {LogField::Outcome, outcome},
            {LogField::Status, status},
            {LogField::Attempt, m_attempts.arrived()},
            {LogField::Events, m_events},
            {LogField::ConfigVersion, m_view ? m_view->config().m_version : 0},
            {LogField::Millis, toMillis(m_traffic.now() - m_arrivedAt)},
            {LogField::FirstMillis,
             m_hasStreamStarted ? toMillis(m_streamStartedAt - m_arrivedAt) : 0},
            {LogField::PauseMillis, toMillis(m_longestPause)},
            {LogField::Source, enumName(callSourceNames, m_source)},
    };
    if (isGood)
        m_traffic.log().info("request-done", fields);
    else
        m_traffic.log().info("request-failed", fields);
}

} // namespace gypsumdale
