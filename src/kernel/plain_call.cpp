#include <gypsumdale/kernel/error_reply.hpp>
#include <gypsumdale/kernel/model_call.hpp>
#include <gypsumdale/kernel/plain_call.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <fmt/format.h>

#include <algorithm> // min

namespace gypsumdale {

namespace {

constexpr Duration keyRetryAfter = std::chrono::seconds(1);
constexpr int firstErrorStatus = 400;
/// Time after which a repeatable request to a silent upstream is retried elsewhere.
constexpr Duration maxRepeatableSilence = std::chrono::seconds(5);

AttemptOutcome attemptOutcomeOf(CallPhase phase)
{
    switch (phase) {
    case CallPhase::NothingSent:
        return AttemptOutcome::NothingSent;
    case CallPhase::RefusedBeforeStart:
        return AttemptOutcome::RefusedBeforeStart;
    case CallPhase::MayHaveBeenRead:
        return AttemptOutcome::SentNoAnswer;
    case CallPhase::Answered:
        break;
    }
    return AttemptOutcome::BrokenAnswer;
}

AttemptEnd attemptEndOf(CallPhase phase)
{
    switch (phase) {
    case CallPhase::Answered:
        return AttemptEnd::Completed;
    case CallPhase::RefusedBeforeStart:
        return AttemptEnd::Refused;
    default:
        return AttemptEnd::Failed;
    }
}

/// Returns whether a header is forwarded. Headers that belong to one connection or to this system
/// are not.
bool isForwarded(std::string_view name)
{
    constexpr std::string_view forwarded[] = {"Content-Type", "Accept", "Accept-Language",
                                              "X-Business-Key"};
    return std::ranges::any_of(forwarded, [&](std::string_view entry) {
        return std::ranges::equal(entry, name, [](unsigned char left, unsigned char right) {
            return std::tolower(left) == std::tolower(right);
        });
    });
}

Digest requestDigest(const HttpRequest &request, std::string_view target)
{
    return digestOf(fmt::format("{}\n{}\n{}", request.m_method, target, request.m_body));
}

} // namespace

PlainCall::PlainCall(Traffic &traffic, RequestContext context, const HttpRequest &request,
                     std::string target, HttpResponder &responder)
    : m_traffic(traffic)
    , m_context(std::move(context))
    , m_request(request)
    , m_target(std::move(target))
    , m_responder(responder)
    , m_retry(retryProfileOf(*m_context.m_profile, false))
    , m_info(firstAttemptInfo(m_retry, std::nullopt))
{
    m_waiting.m_id = m_context.m_id;
    m_waiting.m_member = m_context.m_member->m_id;
    m_waiting.m_profile = m_context.m_profile->m_id;
    m_waiting.m_priority = m_context.m_profile->m_priority;
    m_waiting.m_arrivedAt = m_context.m_arrivedAt;
    m_waiting.m_firstTokenDeadline = std::min(
            m_context.m_arrivedAt + m_context.m_profile->m_queue.m_wait, m_context.m_deadline);
    m_waiting.m_promptTokens = 1;
    m_waiting.m_expectedTokens = 1;
}

void PlainCall::run()
{
    const std::string key(m_request.m_headers.value("Idempotency-Key"));
    if (isAtMostOnce() && !key.empty())
        runClaimed(key);
    else
        runAttempts(std::nullopt);
}

void PlainCall::runClaimed(const std::string &key)
{
    const Digest digest = requestDigest(m_request, m_target);
    // Asked before the claim: the caller comes with its key to another VM, where the claim would
    // count until its end is in the platform.
    using Claimed = std::variant<ClaimResult, NotPlaced>;
    const auto result = m_traffic.callControl([&](Control &control) -> Claimed {
        if (auto refusal = control.refusalWhileDraining(m_context, DrainingRun()))
            return std::move(*refusal);
        return control.claims().claim(m_context.m_member->m_id, key, digest, m_context.m_deadline);
    });
    if (const auto *refusal = std::get_if<NotPlaced>(&result)) {
        refuse(*refusal);
        return;
    }
    const auto &claim = std::get<ClaimResult>(result);
    if (const auto *granted = std::get_if<Granted>(&claim))
        runAttempts(granted->m_attempt);
    else
        answerClaimed(claim);
}

void PlainCall::refuse(const NotPlaced &refusal)
{
    count(Outcome::NotRun, refusal.m_error);
    m_responder.send(errorReply(refusal.m_error, Outcome::NotRun, refusal.m_retryAfter));
}

void PlainCall::answerClaimed(const ClaimResult &result)
{
    const auto granted = [](const Granted &) {
    };
    const auto done = [this](const AlreadyDone &value) {
        HttpReply reply;
        reply.m_status = value.m_answer.m_status;
        if (!value.m_answer.m_contentType.empty())
            reply.m_headers.add("Content-Type", value.m_answer.m_contentType);
        reply.m_headers.add("X-Answer-Kept", value.m_answer.m_body ? "1" : "0");
        reply.m_headers.add("X-Replayed", "1");
        reply.m_body = value.m_answer.m_body.value_or("");
        answer(reply, Outcome::Done);
    };
    const auto unknown = [this](const InProgressOrUnknown &) {
        const Error error{ErrorId::OutcomeUnknown,
                          "an earlier request with this key is in progress, or may have run"};
        count(Outcome::Unknown, error);
        m_responder.send(errorReply(error, Outcome::Unknown, keyRetryAfter));
    };
    const auto reused = [this](const KeyReused &) {
        const Error error{ErrorId::KeyReusedWithOtherBody,
                          "this idempotency key was used with a different request"};
        count(Outcome::NotRun, error);
        m_responder.send(errorReply(error, Outcome::NotRun));
    };
    const auto notRun = [this](const NotRun &value) {
        const Error error{ErrorId::PlatformUnreachable,
                          fmt::format("the key could not be claimed: {}",
                                      enumName(notRunReasonNames, value.m_reason))};
        count(Outcome::NotRun, error);
        m_responder.send(errorReply(error, Outcome::NotRun, value.m_retryAfter));
    };
    std::visit(Overloaded{granted, done, unknown, reused, notRun}, result);
}

void PlainCall::runAttempts(const std::optional<AttemptId> &claimed)
{
    AttemptResult attemptResult;
    attemptResult.m_error = {ErrorId::Internal, "not started"};
    for (;;) {
        const Placement placement = m_traffic.callControl([this](Control &control) {
            return control.place(m_context, DrainingRun(), m_waiting);
        });
        if (const auto *notPlaced = std::get_if<NotPlaced>(&placement)) {
            attemptResult.m_error = notPlaced->m_error;
            finishCall(claimed, attemptResult, notPlaced->m_retryAfter);
            return;
        }
        const bool isFirst = m_attempts == 0;
        // Checked right before the first byte, as a holder that was paused past its deadline must
        // not send.
        const bool mayStart = !claimed || !isFirst || m_traffic.callControl([&](Control &control) {
            return control.claims().startAttempt(*claimed);
        });
        if (!mayStart) {
            attemptResult.m_error = {ErrorId::DeadlineUnreachable,
                                     "the deadline passed before the request was sent"};
            reportFailed(attemptResult);
            finishCall(claimed, attemptResult, keyRetryAfter);
            return;
        }
        attemptResult = attempt(std::get<Placed>(placement));
        if (attemptResult.m_phase == CallPhase::Answered) {
            reportAnswered(attemptResult.m_reply);
            finishCall(claimed, attemptResult, keyRetryAfter);
            return;
        }
        const RetryDecision decision = reportFailed(attemptResult);
        const auto *retry = std::get_if<Retry>(&decision);
        if (!retry) {
            finishCall(claimed, attemptResult, keyRetryAfter);
            return;
        }
        m_info = retry->m_next;
        m_waiting.m_triedUpstreams.push_back(std::get<Placed>(placement).m_upstream);
        sleepFiber(retry->m_backoff);
    }
}

PlainCall::AttemptResult PlainCall::attempt(const Placed &placed)
{
    ++m_attempts;
    m_attemptAt = m_traffic.now();
    m_attemptName = fmt::format("{}.{}", m_context.m_id.text(), m_attempts);
    HttpCall call;
    call.m_endpoint = placed.m_endpoint;
    call.m_method = m_request.m_method;
    call.m_target = m_target;
    for (const auto &[name, value] : m_request.m_headers.fields()) {
        if (isForwarded(name))
            call.m_headers.add(name, value);
    }
    call.m_headers.add("Accept-Encoding", "identity");
    call.m_headers.add("X-Attempt-Id", m_attemptName);
    call.m_headers.add("X-Member", m_context.m_member->m_id.text());
    call.m_body = m_request.m_body;
    const Duration left =
            std::max<Duration>(m_context.m_deadline - m_attemptAt, std::chrono::milliseconds(1));
    const Duration silence = isAtMostOnce() ? left : std::min(left, maxRepeatableSilence);
    call.m_headerTimeout = silence;
    call.m_silenceTimeout = silence;
    // A pooled connection may have died while idle, and what is written to it may be read later or
    // never. Only with a new connection does a failed connect prove that nothing ran.
    call.m_requiresNewConnection = isAtMostOnce();
    auto result = m_traffic.current().m_client.call(call);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        AttemptResult attemptResult;
        attemptResult.m_phase = failure->m_phase == SendPhase::NothingSent
                                        ? CallPhase::NothingSent
                                        : CallPhase::MayHaveBeenRead;
        attemptResult.m_error = failure->m_error;
        return attemptResult;
    }
    return resultOf(std::get<HttpReply>(result));
}

bool PlainCall::isForOtherRequest(const HttpReply &reply) const
{
    const auto attempt = reply.m_headers.find("X-Attempt-Id");
    return attempt && *attempt != m_attemptName;
}

PlainCall::AttemptResult PlainCall::resultOf(const HttpReply &reply) const
{
    AttemptResult attemptResult;
    attemptResult.m_reply = reply;
    const bool isRefused =
            reply.m_status == statusUnavailable && reply.m_headers.value("X-Not-Run") == "1";
    if (isForOtherRequest(reply)) {
        // A late or misdirected answer to another request must not reach this caller, and doesn't
        // show whether this request ran.
        attemptResult.m_phase = CallPhase::MayHaveBeenRead;
        attemptResult.m_error = {ErrorId::UpstreamFailed,
                                 "the upstream's answer belongs to another request"};
    } else if (isRefused) {
        attemptResult.m_phase = CallPhase::RefusedBeforeStart;
        attemptResult.m_error = {ErrorId::UpstreamRefused,
                                 "the service refused the request before starting it"};
    } else if (namesContentCoding(reply.m_headers, "Content-Encoding")) {
        // The coding would be lost: neither the caller is told of it, nor whoever gets the kept
        // answer of this key.
        attemptResult.m_phase = CallPhase::MayHaveBeenRead;
        attemptResult.m_error = {ErrorId::UpstreamFailed,
                                 "the upstream's answer has a content coding"};
    } else {
        attemptResult.m_phase = CallPhase::Answered;
    }
    return attemptResult;
}

void PlainCall::reportAnswered(const HttpReply &reply)
{
    // A quick error says nothing about how long the others take.
    const bool isSuccess = reply.m_status < firstErrorStatus;
    m_traffic.postToControl(
            [context = m_context, isFirst = m_attempts == 1, isSuccess](Control &control) {
                const ServiceId &service = context.m_service;
                if (isFirst)
                    control.admission().onFirstAttempt(service);
                control.admission().finishAttempt(service, context.m_id, AttemptEnd::Completed);
                if (isSuccess)
                    control.recordCompletion(context);
            });
}

RetryDecision PlainCall::reportFailed(const AttemptResult &attemptResult)
{
    AttemptState state;
    state.m_outcome = attemptOutcomeOf(attemptResult.m_phase);
    state.m_info = m_info;
    state.m_startedAt = m_attemptAt;
    state.m_deadline = m_context.m_deadline;
    const bool isFirst = m_attempts <= 1;
    return m_traffic.callControl([&](Control &control) -> RetryDecision {
        AdmissionDriver &admission = control.admission();
        if (isFirst)
            admission.onFirstAttempt(m_context.m_service);
        admission.finishAttempt(m_context.m_service, m_context.m_id,
                                attemptEndOf(attemptResult.m_phase));
        if (m_attempts == 0)
            return NoRetry{};
        const RetryDecision decision = admission.decideRetry(m_context.m_service, state, m_retry);
        const bool isRetried = std::holds_alternative<Retry>(decision);
        control.context().m_metrics.add(isRetried ? Counter::Retries : Counter::RetriesDenied);
        return decision;
    });
}

void PlainCall::finishCall(const std::optional<AttemptId> &claimed,
                           const AttemptResult &attemptResult, Duration retryAfter)
{
    const Outcome outcome = outcomeOf(attemptResult.m_phase);
    if (claimed) {
        StoredAnswer stored;
        stored.m_status = attemptResult.m_reply.m_status;
        stored.m_contentType = attemptResult.m_reply.m_headers.value("Content-Type");
        stored.m_body = attemptResult.m_reply.m_body;
        m_traffic.postToControl([attempt = *claimed, outcome, stored](Control &control) {
            control.claims().finish(attempt, outcome, stored);
        });
    }
    if (outcome == Outcome::Done) {
        answer(attemptResult.m_reply, outcome);
        return;
    }
    if (outcome == Outcome::NotRun) {
        count(outcome, attemptResult.m_error);
        m_responder.send(errorReply(attemptResult.m_error, outcome, retryAfter));
        return;
    }
    const bool isRepeatable = !isAtMostOnce();
    const Error error = isRepeatable ? attemptResult.m_error
                                     : Error{ErrorId::OutcomeUnknown,
                                             "no answer was received: the request may have run"};
    count(outcome, error);
    m_responder.send(errorReply(error, outcome));
}

void PlainCall::answer(const HttpReply &reply, Outcome outcome)
{
    count(outcome, {});
    HttpReply result;
    result.m_status = reply.m_status;
    for (const auto &name : {"Content-Type", "X-Replayed", "X-Answer-Kept", "Location"}) {
        if (const auto value = reply.m_headers.find(name))
            result.m_headers.add(name, std::string(*value));
    }
    result.m_headers.add("X-Outcome", std::string(enumName(outcomeNames, outcome)));
    result.m_headers.add("X-Request-Id", m_context.m_id.text());
    result.m_body = reply.m_body;
    m_responder.send(result);
}

void PlainCall::count(Outcome outcome, const Error &error)
{
    RequestSeries &series = *m_context.m_series;
    series.record(Latency::Total, m_traffic.now() - m_context.m_arrivedAt);
    switch (outcome) {
    case Outcome::Done:
        series.add(RequestCounter::Done);
        break;
    case Outcome::NotRun:
        series.add(RequestCounter::NotRun);
        break;
    case Outcome::Unknown:
        series.add(RequestCounter::OutcomeUnknown);
        break;
    }
    m_traffic.postToControl([id = m_context.m_id, outcome, error](Control &control) {
        if (outcome != Outcome::Done)
            control.context().m_metrics.countError(error.m_id);
        const Decision what = outcome == Outcome::Done     ? Decision::Done
                              : outcome == Outcome::NotRun ? Decision::NotRun
                                                           : Decision::OutcomeUnknown;
        control.context().m_journal.record(control.context().wallNow(), id, what,
                                           DecisionReason::None, error.m_text);
    });
}

} // namespace gypsumdale
