#include <gypsumdale/serving/request_digest.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// A new connection takes a round trip. After this time the upstream counts as stopped or
/// unreachable.
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
/// Limits of failed connections of one request: of all of them, so that a request still finds an
/// upstream where half are down, and of those that timed out.
constexpr int maxConnectFailures = 8;
constexpr int maxUnansweredConnects = 4;
/// The same for a peer's request, which the peer may send elsewhere.
constexpr int maxRelayedConnectFailures = 2;
/// A repeatable request is given up at an upstream that has not taken all of it after this many
/// times the latency target.
constexpr int writeTimeoutTargets = 3;
/// Larger than the difference between two machines' clocks when neither has jumped; a crashed
/// upstream is down for longer than this.
constexpr Duration restartMargin = std::chrono::milliseconds(1000);
/// A prompt counts as read alone if the other pending prompt tokens are less than this fraction
/// (1/n) of it.
constexpr std::int64_t aloneDivisor = 10;
/// Part of a pause that prompts are planned to fill, as long prompts are read more slowly than
/// others.
constexpr double pauseUtilization = 0.6;
constexpr int highestPriority = 9;
/// Number of route priorities within one account priority.
constexpr int routePriorities = 3;

/// The account's priority comes first; the route's decides within it.
int priorityOf(const ServingRoute &route, const ClientAccount *account)
{
    if (!account || !account->m_priority)
        return std::clamp(route.m_priority, 0, highestPriority);
    const int within = std::clamp(route.m_priority, 0, routePriorities - 1);
    return std::clamp(*account->m_priority * routePriorities + within, 0, highestPriority);
}

} // namespace

EntryCall::EntryCall(EntryTraffic &traffic, const HttpRequest &request, HttpResponder &responder,
                     CallSource source)
    : m_traffic(traffic)
    , m_request(request)
    , m_responder(responder)
    , m_source(source)
    , m_caller(platform::decodeRequest(request))
    , m_view(traffic.view())
    , m_binding(traffic, m_caller)
    , m_arrivedAt(traffic.now())
{}

void EntryCall::run()
{
    awaitStartupData();
    if (!resolve() || !bindStream())
        return;
    selectService();
    if (rejectIfQuarantined())
        return;
    if (!hasUpstreamToGoOn() || !canMeetDeadline())
        return;
    const EntryTraffic::CallRegistration registration = m_traffic.registerCall(*this);
    if (!awaitTurn())
        return;
    m_responder.onCallerGone([this] {
        m_isCallerGone = true;
        cancelAttempt();
    });
    // A request rejected for lack of capacity doesn't use the account's quota.
    if (hasConnection() && admitByQuota())
        serve();
    m_responder.onCallerGone(nullptr);
    if (m_turn)
        m_turn->setServedTokens(servedTokens());
}

void EntryCall::cancelForShutdown()
{
    m_isShuttingDown = true;
    cancelAttempt();
}

void EntryCall::cancelAttempt()
{
    if (m_connectionPlace)
        m_connectionPlace->cancel();
    m_cancellation->cancel();
    m_hedges.cancel();
}

int EntryCall::priority() const
{
    return priorityOf(*m_route, m_account.get());
}

const RequestDigest &EntryCall::digest()
{
    if (!m_digest) {
        const AccountId account = m_account ? m_account->m_id : AccountId();
        m_digest = digestOf({account, m_caller.m_host, m_request.m_method, m_request.m_target,
                             m_request.m_body});
    }
    return *m_digest;
}

void EntryCall::serve()
{
    if (m_source == CallSource::Caller)
        m_traffic.allowance().noteRequest(m_service, m_traffic.now());
    if (m_route->m_kind == RouteRepeatSafety::Stream)
        serveStream();
    else
        serveBuffered();
    m_hedges.drop();
}

/// Returns why the request may not be sent (again), or nothing if it may.
std::optional<AttemptStop> EntryCall::attemptStopReason()
{
    if (m_isCallerGone)
        return AttemptStop::CallerGone;
    if (m_isShuttingDown)
        return AttemptStop::Stopping;
    if (isQuarantined())
        return AttemptStop::Quarantined;
    if (timeLeft() < minTimeLeft) {
        m_timedOut = m_timedOut || m_attempts.mayHaveRun();
        return AttemptStop::DeadlinePassed;
    }
    if (m_attempts.isNone())
        return std::nullopt;
    if (m_attempts.mayHaveRun() && (!m_route->isRetryable() || m_isCrashTrial))
        return AttemptStop::NotAllowed;
    if (m_attempts.possibleRuns() >= maxAttempts())
        return AttemptStop::NotAllowed;
    if (hasFailedToConnect() && !m_traffic.relay().isUsedFor(m_service))
        return AttemptStop::NotAllowed;
    return std::nullopt;
}

/// Returns whether too many connections have failed for another one.
bool EntryCall::hasFailedToConnect() const
{
    if (m_source == CallSource::Peer)
        return m_attempts.connectFailures() >= maxRelayedConnectFailures;
    return m_attempts.connectFailures() >= maxConnectFailures
           || m_attempts.unansweredConnects() >= maxUnansweredConnects;
}

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

/// Returns the time limit for writing the request. An upstream that has not taken all of it can't
/// answer.
Duration EntryCall::writeTimeout() const
{
    const Duration left = timeLeft();
    const bool canRepeat = m_route->isRetryable() && m_attempts.possibleRuns() + 1 < maxAttempts();
    if (!canRepeat)
        return left;
    return std::min(left, writeTimeoutTargets * m_route->m_latencyTarget);
}

/// Sends the request to one upstream after the other until one starts to answer it.
EntryCall::AttemptOutcome EntryCall::awaitAnswer()
{
    for (;;) {
        if (auto answer = awaitHedged())
            return *std::move(answer);
        awaitJudgement();
        if (const auto stop = attemptStopReason())
            return *stop;
        if (m_source == CallSource::Peer && m_traffic.relay().isCutOff(m_service))
            return AttemptStop::CutOff;
        if (m_traffic.relay().isUsedFor(m_service)) {
            m_connectionPlace.reset();
            if (auto outcome = relayOnce())
                return *std::move(outcome);
            continue;
        }
        if (const auto stop = awaitConnection())
            return *stop;
        const std::optional<TimePoint> until = m_traffic.placementDeadline();
        if (!until) {
            m_traffic.metrics().add(Counter::ListTooOld);
            return AttemptStop::ListTooOld;
        }
        PlacementRequest request = placement();
        request.m_draw = m_traffic.draw();
        request.m_isAnnounced = m_traffic.shouldAnnounce(m_service, ownTokens());
        const PooledUpstreamPointer upstream = chooseUpstream(request);
        if (!upstream)
            return stopWithoutUpstream();
        if (m_attempts.hasArrived() && !m_traffic.takeRetry(m_service))
            return AttemptStop::NotAllowed;
        PlacedRun run = place(upstream, request, *until);
        m_connectionPlace.reset();
        CallResult<UpstreamAnswer> sent = send(run, beginAttempt());
        if (const auto *failure = std::get_if<CallFailure>(&sent)) {
            recordAttemptFailure(run.m_guard, *failure);
            continue;
        }
        auto &answer = std::get<UpstreamAnswer>(sent);
        if (awaitHeader(answer))
            return std::move(answer);
    }
}

/// Records that the request is about to be sent to an upstream.
PlacedRun EntryCall::place(const PooledUpstreamPointer &upstream, const PlacementRequest &request,
                           TimePoint until)
{
    const TimePoint now = m_traffic.now();
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
    recordAttemptFailure(answer.m_guard, answer.m_exchange.giveUp());
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

/// Selects an upstream, of a version that the request may be placed on. A part of the requests goes
/// to the target of a roll-out.
PooledUpstreamPointer EntryCall::chooseUpstream(PlacementRequest &request)
{
    if (m_binding.isBound())
        return m_traffic.pool().choose(request, m_traffic.now());
    const bool isRepeat = !m_triedUpstreams.empty();
    request.m_versions = m_traffic.rollouts().scope(m_service, m_traffic.random(), isRepeat);
    PooledUpstreamPointer upstream = m_traffic.pool().choose(request, m_traffic.now());
    if (!request.m_versions || !request.m_versions->m_isCanary)
        return upstream;
    if (upstream) {
        m_traffic.rollouts().recordCanary();
        return upstream;
    }
    request.m_versions = m_traffic.rollouts().openScope(m_service);
    return m_traffic.pool().choose(request, m_traffic.now());
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

PlacementRequest EntryCall::placement() const
{
    PlacementRequest placement;
    placement.m_service = m_service;
    placement.m_dataCentre = m_traffic.dataCentre();
    placement.m_promptTokens = m_caller.m_promptTokens;
    placement.m_bodyBytes = m_request.m_body.size();
    placement.m_sharedTokens = m_caller.m_sharedTokens;
    const Duration pause = m_view->shortestPause(m_service);
    placement.m_readingSpeed = m_traffic.tokensWithin(m_service, std::chrono::seconds(1));
    placement.m_maxPauseTokens = pauseUtilization * m_traffic.tokensWithin(m_service, pause);
    if (m_route->m_hasPrefixAffinity)
        placement.m_affinityKey = m_caller.m_lastSharedPart;
    placement.m_excluded = m_triedUpstreams;
    placement.m_softwareVersion = m_binding.requiredVersion();
    placement.m_versions =
            placement.m_softwareVersion
                    ? m_traffic.rollouts().boundScope(m_service, *placement.m_softwareVersion)
                    : m_traffic.rollouts().openScope(m_service);
    return placement;
}

/// Returns whether a started answer may be forwarded, and records whether the request may have run.
bool EntryCall::acceptsAnswer(const HttpExchange &exchange, PooledUpstream &upstream)
{
    const platform::AnswerTraits traits =
            platform::decodeAnswer(exchange.status(), exchange.headers(), m_caller.m_id);
    if (traits.m_wasNotExecuted && traits.m_answersThisRequest) {
        UpstreamPool::note(upstream, AttemptResult::Refused, m_traffic.now());
        m_traffic.log().info(
                "attempt-refused",
                {m_caller.m_id, upstream.m_record.m_id, {LogField::Status, exchange.status()}});
        return false;
    }
    m_attempts.recordPossibleRun();
    const bool isUnsignedSuccess = exchange.status() / 100 == 2 && !traits.m_isSigned;
    if (traits.m_answersThisRequest && !isUnsignedSuccess)
        return true;
    UpstreamPool::note(upstream, AttemptResult::Broken, m_traffic.now());
    m_traffic.log().warning(
            "answer-not-ours",
            {m_caller.m_id, upstream.m_record.m_id, {LogField::Status, exchange.status()}});
    return false;
}

EntryCall::AnswerReadResult EntryCall::readFullAnswer(UpstreamAnswer &answer)
{
    HttpReply reply;
    reply.m_status = answer.m_exchange.status();
    reply.m_headers = forwardedHeaders(answer);
    auto body = answer.m_exchange.readBody();
    if (auto *failure = std::get_if<CallFailure>(&body))
        return std::move(*failure);
    reply.m_body = std::get<std::string>(std::move(body));
    return reply;
}

/// Forwards an answer once it is complete, so that a caller never receives the beginning of one
/// that breaks off.
void EntryCall::serveBuffered()
{
    for (;;) {
        AttemptOutcome attempt = awaitAnswer();
        if (const auto *stop = std::get_if<AttemptStop>(&attempt)) {
            finishUnserved(*stop);
            return;
        }
        auto &answer = std::get<UpstreamAnswer>(attempt);
        awaitPart(answer, AnswerPart::Body);
        AnswerReadResult reading = readFullAnswer(answer);
        if (const auto *failure = std::get_if<CallFailure>(&reading)) {
            recordBrokenAnswer(answer, *failure);
            continue;
        }
        recordUsage();
        auto &reply = std::get<HttpReply>(reading);
        if (reply.m_status / 100 == 2)
            recordDelivery(answer);
        const bool isServerError = reply.m_status >= 500;
        recordVersionAnswer(answer, isServerError);
        UpstreamPool::note(answer.m_guard.upstream(),
                           isServerError ? AttemptResult::ServerError : AttemptResult::Good,
                           m_traffic.now());
        recordRunResult(answer, reply.m_status);
        if (!isServerError || !m_route->isRetryable()
            || !isWorthSecondRun(answer, reply.m_status)) {
            m_hedges.drop();
            forwardAnswer(reply);
            return;
        }
        m_fallback = std::move(reply);
    }
}

/// Counts the request for its account's usage, only once regardless of the number of attempts.
void EntryCall::recordUsage()
{
    if (std::exchange(m_isUsageCounted, true) || !m_account)
        return;
    m_traffic.countUsage(m_account->m_id);
}

} // namespace gypsumdale
