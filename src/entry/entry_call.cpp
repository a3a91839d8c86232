#include <gypsumdale/serving/request_digest.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Limits of failed connections of one request: of all of them, so that a request still finds an
/// upstream where half are down, and of those that timed out.
constexpr int maxConnectFailures = 8;
constexpr int maxUnansweredConnects = 4;
/// The same for a peer's request, which the peer may send elsewhere.
constexpr int maxRelayedConnectFailures = 2;
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
    , m_eventShare(traffic.answerMemory())
{}

void EntryCall::run()
{
    awaitStartupData();
    if (!resolve() || !bindStream())
        return;
    selectService();
    if (rejectIfStopping() || rejectIfQuarantined())
        return;
    if (!hasUpstreamToGoOn() || !canMeetDeadline())
        return;
    const EntryTraffic::CallRegistration registration = m_traffic.registerCall(*this);
    if (!awaitTurn() || rejectIfStopping())
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
    if (!m_attempts.isNone() && !allowsFurtherAttempt())
        return AttemptStop::NotAllowed;
    return refusesForStop() ? std::optional(AttemptStop::Stopping) : std::nullopt;
}

/// Returns whether the request may be sent again after its attempts so far.
bool EntryCall::allowsFurtherAttempt() const
{
    if (m_attempts.mayHaveRun() && (!m_route->isRetryable() || m_isCrashTrial))
        return false;
    if (m_attempts.possibleRuns() >= maxAttempts())
        return false;
    return !hasFailedToConnect() || m_traffic.relay().isUsedFor(m_service);
}

/// Returns whether too many connections have failed for another one.
bool EntryCall::hasFailedToConnect() const
{
    if (m_source == CallSource::Peer)
        return m_attempts.connectFailures() >= maxRelayedConnectFailures;
    return m_attempts.connectFailures() >= maxConnectFailures
           || m_attempts.unansweredConnects() >= maxUnansweredConnects;
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
    const bool isReadable = !traits.m_isCoded || m_caller.m_acceptsCodings;
    if (traits.m_answersThisRequest && !isUnsignedSuccess && isReadable)
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
    reply.m_share = answer.m_exchange.share();
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
