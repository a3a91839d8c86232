#include <entry/entry_call.hpp>

#include <algorithm> // min
#include <utility> // move

/// How a request is sent to an upstream, and what the header of its answer says.
namespace gypsumdale {

namespace {

/// A new connection takes a round trip. After this time the upstream counts as stopped or
/// unreachable.
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
/// Larger than the difference between two machines' clocks when neither has jumped; a crashed
/// upstream is down for longer than this.
constexpr Duration restartMargin = std::chrono::milliseconds(1000);
/// A prompt counts as read alone if the other pending prompt tokens are less than this fraction
/// (1/n) of it.
constexpr std::int64_t aloneDivisor = 10;

} // namespace

/// Returns the call to an upstream or to a peer that relays, without its headers.
HttpCall EntryCall::callTo(const PooledUpstream &target,
                           const std::shared_ptr<CallCancellation> &cancellation) const
{
    HttpCall call;
    call.m_endpoint = {target.m_record.m_ip, target.m_record.m_port};
    call.m_method = m_request.m_method;
    call.m_target = m_request.m_target;
    call.m_body = m_request.m_body;
    call.m_connectTimeout = std::min(connectTimeout, timeLeft());
    call.m_headerTimeout = writeTimeout();
    call.m_silenceTimeout = timeLeft();
    call.m_totalTimeout = timeLeft();
    // A kept-alive connection may be dead without notice, may deliver a late answer to another
    // request, or may close during this one, which then may or may not have run. A new connection
    // has none of these faults.
    call.m_requiresNewConnection = true;
    call.m_closeAfterAnswer = true;
    call.m_cancellation = cancellation;
    return call;
}

HttpCall EntryCall::buildCall(const PooledUpstream &upstream,
                              const std::shared_ptr<CallCancellation> &cancellation) const
{
    platform::Forwarding forwarding;
    forwarding.m_timeLeft = timeLeft();
    forwarding.m_upstream = upstream.m_record.m_id;
    if (m_account)
        forwarding.m_account = m_account->m_id;
    if (m_route->m_kind == RouteRepeatSafety::Stream)
        forwarding.m_priority = priority();
    forwarding.m_resumeAfter = m_lastEventId;
    forwarding.m_memory = m_memory;
    HttpCall call = callTo(upstream, cancellation);
    call.m_headers = platform::upstreamHeaders(m_request.m_headers, forwarding);
    call.m_acceptsCloseDelimited = true;
    return call;
}

/// Returns the time after which a second run may be sent beside one that was not taken as a whole.
Duration EntryCall::writeTimeout() const
{
    const Duration left = timeLeft();
    const bool canRepeat = m_route->isRetryable() && m_attempts.possibleRuns() + 1 < maxAttempts();
    if (!canRepeat)
        return left;
    return std::min(left, hedgeDelay(silentRun(AnswerPart::Header)));
}

/// Records that the request is about to be sent to an upstream.
PlacedRun EntryCall::place(const PooledUpstreamPointer &upstream, const PlacementRequest &request,
                           TimePoint until)
{
    const TimePoint now = m_traffic.now();
    m_lastPlacedAt = now;
    m_triedUpstreams.insert(upstream->m_record.m_id);
    m_traffic.pool().takePermit(*upstream, now);
    logPlaced(*upstream, until);
    const bool isAlone = readsAlone(*upstream);
    const bool isSpeedSample = isAlone && upstream->running() < upstream->m_record.m_slots;
    upstream->awaitAnswerFrom(now);
    InFlightGuard guard(upstream, m_caller.m_promptTokens);
    m_traffic.recordPlacement(*upstream, ownTokens(), request.m_isAnnounced);
    m_traffic.forecaster().recordPlacement(m_service, priority(), m_caller.m_promptTokens,
                                           ownTokens(), now);
    return {std::move(guard),
            std::make_shared<PlacementCallDeadline>(m_traffic, until,
                                                    DeadlineRenewal::OnConfirmation),
            now, isAlone, isSpeedSample};
}

/// Waits for the header of an answer. Returns whether the answer may be forwarded; why it may not
/// is recorded.
bool EntryCall::awaitHeader(UpstreamAnswer &answer)
{
    awaitPart(answer, AnswerPart::Header);
    // The answer of a run that took its place was checked.
    if (answer.m_stage != RunStage::Waiting)
        return true;
    if (answer.m_exchange.hasHeader())
        return takeHeader(answer);
    const CallFailure failure = answer.m_exchange.giveUp();
    recordVersionFailure(answer, failure);
    recordAttemptFailure(answer.m_guard, failure);
    return false;
}

/// Handles the header of an upstream's answer. Returns whether the answer may be forwarded.
bool EntryCall::takeHeader(UpstreamAnswer &answer)
{
    m_attempts.recordAnswer();
    answer.m_stage = RunStage::Begun;
    PooledUpstream &upstream = answer.m_guard.upstream();
    upstream.m_lastHeardAt = m_traffic.now();
    recordBackpressure(answer.m_exchange, upstream);
    return acceptsAnswer(answer.m_exchange, upstream);
}

/// Returns whether an upstream has, as far as is known, hardly any other prompt left to read.
bool EntryCall::readsAlone(const PooledUpstream &upstream) const
{
    return m_caller.m_promptTokens > 0
           && upstream.pendingTokens() * aloneDivisor < m_caller.m_promptTokens;
}

/// Returns the call to an upstream. It fails as soon as the upstream is known to have restarted
/// since: a connection to the previous process may stay silent permanently if the upstream was
/// partitioned when it crashed, and the caller would wait until the deadline. It also fails if the
/// request has not arrived by its placement deadline.
HttpCall EntryCall::watchedCall(InFlightGuard &guard,
                                const std::shared_ptr<PlacementCallDeadline> &deadline,
                                const std::shared_ptr<CallCancellation> &cancellation)
{
    const WallMillis sentAt = m_traffic.wallNow();
    guard.onReplaced([cancellation, sentAt](std::int64_t startedAt) {
        // A request sent around the time of the start may run in the new process.
        if (sentAt + toWholeMillis(restartMargin) < startedAt)
            cancellation->cancel();
    });
    guard.onLeaving([deadline] { deadline->noteLeaving(); });
    HttpCall call = buildCall(guard.upstream(), cancellation);
    call.m_term = deadline;
    call.m_onConnected = [this, upstream = guard.pointer()] {
        m_traffic.relay().recordConnected(*upstream);
    };
    m_hasFullConnectTime = call.m_connectTimeout == connectTimeout;
    return call;
}

/// Sends the request to the upstream that was selected. Returns once it was sent.
CallResult<UpstreamAnswer> EntryCall::send(PlacedRun &run,
                                           const std::shared_ptr<CallCancellation> &cancellation)
{
    const HttpCall call = watchedCall(run.m_guard, run.m_deadline, cancellation);
    CallResult<HttpExchange> sent = m_traffic.client().send(call);
    if (auto *failure = std::get_if<CallFailure>(&sent))
        return std::move(*failure);
    const StreamOrigin origin = originAt(run.m_guard.upstream());
    return UpstreamAnswer{std::get<HttpExchange>(std::move(sent)),
                          std::move(run.m_guard),
                          run.m_placedAt,
                          run.m_isAlone ? std::optional(run.m_placedAt) : std::nullopt,
                          origin,
                          false,
                          run.m_placedAt,
                          run.m_isSpeedSample ? std::optional(run.m_placedAt) : std::nullopt};
}

/// Begins an attempt and returns what cancels it.
const std::shared_ptr<CallCancellation> &EntryCall::beginAttempt()
{
    m_cancellation = std::make_shared<CallCancellation>();
    if (m_isCallerGone || m_isShuttingDown)
        m_cancellation->cancel();
    return m_cancellation;
}

} // namespace gypsumdale
