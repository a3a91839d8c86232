#include <gypsumdale/kernel/error_reply.hpp>
#include <gypsumdale/kernel/model_call.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <fmt/format.h>

#include <algorithm> // min

namespace gypsumdale {

namespace {

/// Interval of progress reports to the control thread, for fair shares and rates.
constexpr Duration reportInterval = std::chrono::milliseconds(100);
/// Silence of a stream after which its connection counts as dead.
constexpr Duration silenceTimeout = std::chrono::seconds(10);

HttpHeaders streamHeaders(const RequestId &request)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-store");
    headers.add("X-Request-Id", request.text());
    return headers;
}

} // namespace

RetryProfile retryProfileOf(const Profile &profile, bool canResume)
{
    RetryProfile retry;
    retry.m_isRepeatable = profile.m_repeatSafety == RepeatSafety::Repeatable;
    retry.m_canResume = canResume && retry.m_isRepeatable;
    retry.m_allowsHedging = profile.m_hedging;
    retry.m_maxAttempts = static_cast<std::uint32_t>(profile.m_retries) + 1;
    return retry;
}

WaitingRequest waitingRequestOf(const RequestContext &context, const ChatRequest &request)
{
    WaitingRequest waiting;
    waiting.m_id = context.m_id;
    waiting.m_member = context.m_member->m_id;
    waiting.m_profile = context.m_profile->m_id;
    waiting.m_priority = context.m_profile->m_priority;
    waiting.m_arrivedAt = context.m_arrivedAt;
    waiting.m_firstTokenDeadline =
            std::min(context.m_arrivedAt + context.m_profile->m_queue.m_wait, context.m_deadline);
    waiting.m_promptTokens = request.promptTokens();
    waiting.m_expectedTokens = request.expectedTokens();
    waiting.m_prefixBlocks = request.prefixBlocks();
    return waiting;
}

ModelCall::ModelCall(Traffic &traffic, RequestContext context, ChatRequest request,
                     HttpResponder &responder)
    : m_traffic(traffic)
    , m_context(std::move(context))
    , m_request(std::move(request))
    , m_responder(responder)
    , m_writer(m_context.m_id.text(), m_context.m_service)
    , m_waiting(waitingRequestOf(m_context, m_request))
    , m_retry(retryProfileOf(*m_context.m_profile, true))
    , m_info(firstAttemptInfo(m_retry, std::nullopt))
{}

void ModelCall::run()
{
    m_responder.onCallerGone([this] { onCallerGone(); });
    for (;;) {
        const TimePoint askedAt = m_traffic.now();
        const Placement placement = m_traffic.callControl([this](Control &control) {
            return control.place(m_context, drainingRun(), m_waiting);
        });
        m_context.m_series->record(Latency::Queueing, m_traffic.now() - askedAt);
        if (const auto *notPlaced = std::get_if<NotPlaced>(&placement)) {
            refuse(notPlaced->m_error, notPlaced->m_retryAfter);
            break;
        }
        const AttemptResult attemptResult = attempt(std::get<Placed>(placement));
        if (attemptResult.m_end == AttemptEnd::Completed) {
            reportCompleted();
            finish();
            break;
        }
        m_truncated += attemptResult.m_error.m_id == ErrorId::AnswerTruncated ? 1 : 0;
        const RetryDecision decision = reportFailed(attemptResult);
        const auto *retry = std::get_if<Retry>(&decision);
        if (!retry || m_isCallerGone) {
            refuse(attemptResult.m_error, Duration::zero());
            break;
        }
        m_info = retry->m_next;
        m_waiting.m_triedUpstreams.push_back(std::get<Placed>(placement).m_upstream);
        sleepFiber(retry->m_backoff);
    }
    m_responder.onCallerGone(nullptr);
    m_traffic.metrics().add(Counter::TruncatedAnswers, m_truncated);
    countDroppedEvents(m_traffic.metrics(), m_assembler);
}

ModelCall::AttemptResult ModelCall::attempt(const Placed &placed)
{
    m_attemptAt = m_traffic.now();
    ++m_attempts;
    if (m_isCallerGone)
        return {AttemptEnd::Abandoned,
                AttemptOutcome::NothingSent,
                {ErrorId::Cancelled, "the caller disconnected"},
                false};
    EngineCall call(m_traffic.current().m_client, m_assembler);
    EngineAttempt request;
    request.m_endpoint = placed.m_endpoint;
    request.m_name = fmt::format("{}.{}", m_context.m_id.text(), m_attempts);
    request.m_body = m_request.bodyFor(m_context.m_profile->m_priority, m_assembler.answer());
    request.m_headerTimeout = std::min(m_context.m_deadline - m_attemptAt, silenceTimeout);
    request.m_silenceTimeout = silenceTimeout;
    m_call = &call;
    const auto opened = call.open(request);
    AttemptResult attemptResult = std::holds_alternative<EngineFailure>(opened)
                                          ? resultOf(std::get<EngineFailure>(opened))
                                          : readStream(call);
    m_call = nullptr;
    return attemptResult;
}

ModelCall::AttemptResult ModelCall::readStream(EngineCall &call)
{
    for (;;) {
        const auto result = call.read();
        if (const auto *failure = std::get_if<EngineFailure>(&result))
            return resultOf(*failure);
        const auto &progress = std::get<EngineProgress>(result);
        if (!writeTokens(progress)) {
            return {AttemptEnd::Abandoned,
                    AttemptOutcome::BrokenAnswer,
                    {ErrorId::Cancelled, "the caller disconnected"},
                    false};
        }
        if (progress.m_isComplete)
            return {};
        if (m_traffic.now() > m_context.m_deadline) {
            return {AttemptEnd::Abandoned,
                    AttemptOutcome::BrokenAnswer,
                    {ErrorId::Timeout, "the profile's deadline has passed"},
                    true};
        }
    }
}

ModelCall::AttemptResult ModelCall::resultOf(const EngineFailure &failure) const
{
    AttemptResult attemptResult;
    attemptResult.m_error = failure.m_error;
    attemptResult.m_isPermanent = failure.m_isPermanent;
    if (m_isCallerGone) {
        attemptResult.m_end = AttemptEnd::Abandoned;
        return attemptResult;
    }
    attemptResult.m_end = failure.m_isRefusedBeforeStart ? AttemptEnd::Refused : AttemptEnd::Failed;
    if (failure.m_isRefusedBeforeStart)
        attemptResult.m_outcome = AttemptOutcome::RefusedBeforeStart;
    else if (!m_assembler.answer().isEmpty())
        attemptResult.m_outcome = AttemptOutcome::BrokenAnswer;
    else if (failure.m_phase != SendPhase::NothingSent)
        attemptResult.m_outcome = AttemptOutcome::SentNoAnswer;
    return attemptResult;
}

bool ModelCall::writeTokens(const EngineProgress &progress)
{
    if (progress.m_tokenCount > progress.m_firstNewToken) {
        const TimePoint now = m_traffic.now();
        if (!m_hasFirstToken) {
            m_hasFirstToken = true;
            const Duration taken = now - m_context.m_arrivedAt;
            m_context.m_series->record(Latency::FirstToken, taken);
            const bool isInTime = taken <= m_context.m_profile->m_latency.m_firstToken;
            m_context.m_series->add(isInTime ? RequestCounter::WithinTarget
                                             : RequestCounter::BeyondTarget);
        } else {
            m_context.m_series->record(Latency::BetweenTokens, now - m_lastTokenAt);
        }
        m_lastTokenAt = now;
    }
    reportProgress(false);
    if (!m_request.isStreamed())
        return !m_isCallerGone;
    if (!m_hasStarted) {
        m_hasStarted = true;
        if (!m_responder.begin(statusOk, streamHeaders(m_context.m_id)))
            return false;
    }
    m_buffer.clear();
    for (std::int64_t index = progress.m_firstNewToken; index < progress.m_tokenCount; ++index)
        m_writer.appendToken(m_buffer, index, m_assembler.answer().token(index));
    return m_buffer.empty() || m_responder.write(m_buffer);
}

void ModelCall::reportProgress(bool isFinal)
{
    const TimePoint now = m_traffic.now();
    const std::int64_t newTokens = m_assembler.answer().tokens() - m_reportedTokens;
    const bool isFirst = m_reportedTokens == 0;
    if (newTokens == 0 || (!isFinal && !isFirst && now - m_reportedAt < reportInterval))
        return;
    m_reportedTokens += newTokens;
    m_reportedAt = now;
    m_traffic.postToControl([id = m_context.m_id, service = m_context.m_service, newTokens,
                             isFirst](Control &control) {
        if (isFirst)
            control.admission().firstToken(service, id);
        control.admission().tokens(service, id, static_cast<std::uint32_t>(newTokens));
    });
}

void ModelCall::reportCompleted()
{
    reportProgress(true);
    m_traffic.postToControl([id = m_context.m_id, service = m_context.m_service,
                             prompt = m_request.promptTokens(),
                             tokens = static_cast<std::uint32_t>(m_assembler.answer().tokens()),
                             isFirst = m_attempts == 1](Control &control) {
        AdmissionDriver &admission = control.admission();
        if (isFirst)
            admission.onFirstAttempt(service);
        admission.usage(service, id, prompt, tokens);
        admission.finishAttempt(service, id, AttemptEnd::Completed);
    });
}

RetryDecision ModelCall::reportFailed(const AttemptResult &attemptResult)
{
    reportProgress(true);
    AttemptState state;
    state.m_outcome = attemptResult.m_outcome;
    state.m_info = m_info;
    state.m_startedAt = m_attemptAt;
    state.m_deadline = m_context.m_deadline;
    const bool wantsRetry =
            !attemptResult.m_isPermanent && attemptResult.m_end != AttemptEnd::Abandoned;
    const bool isFirst = m_attempts == 1;
    return m_traffic.callControl([&](Control &control) -> RetryDecision {
        AdmissionDriver &admission = control.admission();
        const ServiceId &service = m_context.m_service;
        if (isFirst)
            admission.onFirstAttempt(service);
        // An invalid request shows nothing about its upstream.
        const AttemptEnd end =
                attemptResult.m_isPermanent ? AttemptEnd::Abandoned : attemptResult.m_end;
        admission.finishAttempt(service, m_context.m_id, end);
        if (!wantsRetry)
            return NoRetry{};
        const RetryDecision decision = admission.decideRetry(service, state, m_retry);
        const bool isRetried = std::holds_alternative<Retry>(decision);
        control.context().m_metrics.add(isRetried ? Counter::Retries : Counter::RetriesDenied);
        control.context().m_journal.record(control.context().wallNow(), m_context.m_id,
                                           isRetried ? Decision::Retried : Decision::Failed,
                                           DecisionReason::UpstreamFailed,
                                           attemptResult.m_error.m_text);
        return decision;
    });
}

void ModelCall::finish()
{
    m_context.m_series->record(Latency::Total, m_traffic.now() - m_context.m_arrivedAt);
    m_context.m_series->add(RequestCounter::Done);
    m_context.m_series->add(RequestCounter::PromptTokens, m_request.promptTokens());
    m_context.m_series->add(RequestCounter::GeneratedTokens,
                            static_cast<std::uint64_t>(m_assembler.answer().tokens()));
    m_traffic.postToControl([context = m_context](Control &control) {
        control.recordCompletion(context);
        control.context().m_journal.record(control.context().wallNow(), context.m_id,
                                           Decision::Done);
    });
    if (!m_request.isStreamed()) {
        HttpReply reply;
        reply.m_headers.add("Content-Type", "application/json");
        reply.m_headers.add("X-Request-Id", m_context.m_id.text());
        reply.m_body = m_writer.whole(m_assembler.answer(), m_assembler.finishReason(),
                                      m_request.promptTokens());
        m_responder.send(reply);
        return;
    }
    m_buffer.clear();
    m_writer.appendEnd(m_buffer, m_assembler.answer().tokens(), m_assembler.finishReason());
    if (m_responder.write(m_buffer))
        m_responder.finish();
}

void ModelCall::refuse(const Error &error, Duration retryAfter)
{
    const bool isRefused = m_attempts == 0;
    m_context.m_series->add(m_isCallerGone ? RequestCounter::Cancelled
                            : isRefused    ? RequestCounter::Refused
                                           : RequestCounter::Failed);
    m_traffic.postToControl([id = m_context.m_id, error, isRefused](Control &control) {
        control.context().m_metrics.countError(error.m_id);
        control.context().m_journal.record(control.context().wallNow(), id,
                                           isRefused ? Decision::Refused : Decision::Failed,
                                           DecisionReason::None, errorName(error.m_id));
    });
    if (m_isCallerGone)
        return;
    if (!m_hasStarted) {
        HttpReply reply = isRefused ? errorReply(error, Outcome::NotRun, retryAfter)
                                    : errorReply(error, retryAfter);
        reply.m_headers.add("X-Request-Id", m_context.m_id.text());
        m_responder.send(reply);
        return;
    }
    // The stream has started: sends the error as an event; the missing end marker shows that the
    // answer is incomplete.
    m_buffer.clear();
    appendNamedEvent(m_buffer, "error", errorBody(error));
    m_responder.write(m_buffer);
}

void ModelCall::onCallerGone()
{
    m_isCallerGone = true;
    if (m_call)
        m_call->cancel();
    m_traffic.postToControl([id = m_context.m_id, service = m_context.m_service](Control &control) {
        control.admission().cancel(service, id);
    });
}

} // namespace gypsumdale
