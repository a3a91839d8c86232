#include <entry/entry_call.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// A new connection takes a round trip; past this its upstream is gone or cut off.
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
/// Upstreams that don't accept a connection are passed over this often.
constexpr int mostConnectFailures = 4;
/// A request that may repeat is given up at an upstream that has not begun to answer after this
/// many times the latency target.
constexpr int patienceInTargets = 3;
/// Clocks of two machines differ by less than this when neither has jumped; an upstream is down for
/// longer than this when it crashes.
constexpr Duration restartMargin = std::chrono::milliseconds(1000);
/// A prompt is read alone if what others wait for there is less than this part of it.
constexpr std::int64_t mostBesides = 10;
/// Part of a pause that prompts are let to fill, as long ones are read more slowly than others.
constexpr double pauseUsed = 0.6;
constexpr int highestPriority = 9;
/// Room for the routes' priorities within one priority of accounts.
constexpr int routePriorities = 3;

/// An account's priority goes before the route's, which decides within it.
int priorityOf(const ServingRoute &route, const ClientAccount *account)
{
    if (!account || !account->m_priority)
        return std::clamp(route.m_priority, 0, highestPriority);
    const int within = std::clamp(route.m_priority, 0, routePriorities - 1);
    return std::clamp(*account->m_priority * routePriorities + within, 0, highestPriority);
}

} // namespace

EntryCall::EntryCall(EntryTraffic &traffic, const HttpRequest &request, HttpResponder &responder)
    : m_traffic(traffic)
    , m_request(request)
    , m_responder(responder)
    , m_caller(platform::decodeRequest(request))
    , m_view(traffic.view())
    , m_arrivedAt(traffic.now())
{}

void EntryCall::run()
{
    awaitKnowledge();
    if (!resolve())
        return;
    drawService();
    // What is rejected for want of room is not taken from the account's quota.
    if (!hasRoomInTime() || !admitByQuota())
        return;
    const EntryTraffic::CallRegistration underWay = m_traffic.registerCall(*this);
    m_responder.onCallerGone([this] {
        m_isCallerGone = true;
        m_cancellation->cancel();
    });
    serve();
    m_responder.onCallerGone(nullptr);
}

void EntryCall::cancelForShutdown()
{
    m_isStopping = true;
    m_cancellation->cancel();
}

int EntryCall::priority() const
{
    return priorityOf(*m_route, m_account);
}

void EntryCall::serve()
{
    m_traffic.allowance().noteRequest(m_service, m_traffic.now());
    if (m_route->m_kind == RouteRepeatSafety::Stream)
        serveStream();
    else
        serveWhole();
}

/// Tells why the request is not sent (again), or nothing if it may be.
std::optional<AttemptStop> EntryCall::whyNoFurtherAttempt(bool isFirst)
{
    if (m_isCallerGone)
        return AttemptStop::CallerGone;
    if (m_isStopping)
        return AttemptStop::Stopping;
    if (timeLeft() < leastTimeLeft) {
        m_timedOut = m_timedOut || m_mayHaveRun > 0;
        return AttemptStop::DeadlinePassed;
    }
    if (isFirst)
        return std::nullopt;
    if (m_mayHaveRun > 0 && !m_route->isRetryable())
        return AttemptStop::NotAllowed;
    if (m_mayHaveRun >= m_route->m_maxAttempts || m_connectFailures >= mostConnectFailures)
        return AttemptStop::NotAllowed;
    return std::nullopt;
}

HttpCall EntryCall::callFor(const PooledUpstream &upstream) const
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
    HttpCall call;
    call.m_endpoint = {upstream.m_record.m_ip, upstream.m_record.m_port};
    call.m_method = m_request.m_method;
    call.m_target = m_request.m_target;
    call.m_headers = platform::upstreamHeaders(m_request.m_headers, forwarding);
    call.m_body = m_request.m_body;
    call.m_connectTimeout = std::min(connectTimeout, timeLeft());
    call.m_headerTimeout = firstAnswerLimit();
    call.m_silenceTimeout = timeLeft();
    // A kept connection may have died unseen, may bring a late answer to another request, or close
    // under this one, which then may or may not have run. A new one has none of these faults.
    call.m_freshConnection = true;
    call.m_closeAfter = true;
    call.m_acceptsUnframed = true;
    call.m_cancellation = m_cancellation;
    return call;
}

/// Returns how long an upstream may take to begin its answer.
Duration EntryCall::firstAnswerLimit() const
{
    const Duration left = timeLeft();
    const bool canRepeat = m_route->isRetryable() && m_mayHaveRun + 1 < m_route->m_maxAttempts;
    if (!canRepeat)
        return left;
    return std::min(left, patienceInTargets * m_route->m_latencyTarget);
}

/// Sends the request to one upstream after the other until one begins to answer it.
EntryCall::Opening EntryCall::openAnswer()
{
    for (;;) {
        const bool isFirst = m_arrivals == 0 && m_connectFailures == 0;
        if (const auto stop = whyNoFurtherAttempt(isFirst))
            return *stop;
        const std::optional<TimePoint> until = m_traffic.placementDeadline();
        if (!until) {
            m_traffic.metrics().add(Counter::ListTooOld);
            return AttemptStop::ListTooOld;
        }
        PlacementRequest request = placement();
        request.m_draw = m_traffic.draw();
        request.m_isAnnounced = m_traffic.shouldAnnounce(m_service, ownTokens());
        const PooledUpstreamPointer upstream = m_traffic.pool().choose(request, m_traffic.now());
        if (!upstream)
            return AttemptStop::NoUpstream;
        if (m_arrivals > 0 && !m_traffic.allowance().tryTake(m_service, m_traffic.now()))
            return AttemptStop::NotAllowed;
        m_tried.insert(upstream->m_record.m_id);
        logPlaced(*upstream, *until);
        const bool isAlone = readsAlone(*upstream);
        InFlightGuard hold(upstream, m_caller.m_promptTokens);
        const TimePoint sentAt = m_traffic.now();
        m_traffic.recordPlacement(*upstream, ownTokens(), request.m_isAnnounced);
        m_traffic.forecaster().recordPlacement(m_service, priority(), m_caller.m_promptTokens,
                                               ownTokens(), sentAt);
        CallResult<HttpExchange> opened =
                send(hold, std::make_shared<PlacementCallDeadline>(
                                   m_traffic, *until, DeadlineRenewal::OnConfirmation));
        if (const auto *failure = std::get_if<CallFailure>(&opened)) {
            noteFailure(hold, *failure);
            continue;
        }
        ++m_arrivals;
        auto &exchange = std::get<HttpExchange>(opened);
        if (!takes(exchange, *upstream))
            continue;
        return OpenAnswer{std::move(exchange), std::move(hold),
                          isAlone ? std::optional(sentAt) : std::nullopt};
    }
}

/// Tells whether hardly any other prompt is still to be read at an upstream, as far as is known.
bool EntryCall::readsAlone(const PooledUpstream &upstream) const
{
    return m_caller.m_promptTokens > 0
           && upstream.pendingTokens() * mostBesides < m_caller.m_promptTokens;
}

/// Sends the request to an upstream. The attempt ends as broken as soon as the upstream is known to
/// have started again after that: a connection to the process before may stay silent for good where
/// it was cut off as it crashed, and its caller would wait in vain until the deadline. It ends as
/// well where the request has not arrived within the term of its placement.
CallResult<HttpExchange> EntryCall::send(InFlightGuard &hold,
                                         const std::shared_ptr<PlacementCallDeadline> &term)
{
    m_cancellation = std::make_shared<CallCancellation>();
    if (m_isCallerGone || m_isStopping)
        m_cancellation->cancel();
    const WallMillis sentAt = m_traffic.wallNow();
    hold.onReplaced([cancellation = m_cancellation, sentAt](std::int64_t startedAt) {
        // What was sent about the time of the start may run in the new process.
        if (sentAt + wholeMillis(restartMargin) < startedAt)
            cancellation->cancel();
    });
    hold.onLeaving([term] { term->noteLeaving(); });
    HttpCall call = callFor(hold.upstream());
    call.m_term = term;
    return m_traffic.client().open(call);
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
    placement.m_maxPauseTokens = pauseUsed * m_traffic.tokensWithin(m_service, pause);
    if (m_route->m_hasPrefixAffinity)
        placement.m_affinityKey = m_caller.m_lastSharedPart;
    placement.m_excluded = m_tried;
    return placement;
}

/// Tells whether an answer that began may be passed on, and notes whether the request may have run.
bool EntryCall::takes(const HttpExchange &exchange, PooledUpstream &upstream)
{
    const platform::AnswerTraits traits =
            platform::decodeAnswer(exchange.status(), exchange.headers(), m_caller.m_id);
    if (traits.m_isNotRun && traits.m_isToThisRequest) {
        UpstreamPool::note(upstream, AttemptResult::Refused, m_traffic.now());
        m_traffic.log().info(
                "attempt-refused",
                {m_caller.m_id, upstream.m_record.m_id, {LogField::Status, exchange.status()}});
        return false;
    }
    ++m_mayHaveRun;
    const bool isUnsignedSuccess = exchange.status() / 100 == 2 && !traits.m_isSigned;
    if (traits.m_isToThisRequest && !isUnsignedSuccess)
        return true;
    UpstreamPool::note(upstream, AttemptResult::Broken, m_traffic.now());
    m_traffic.log().warning(
            "answer-not-ours",
            {m_caller.m_id, upstream.m_record.m_id, {LogField::Status, exchange.status()}});
    return false;
}

/// Names the limit that an attempt reached, for the log.
std::string_view EntryCall::passedLimit(const CallFailure &failure) const
{
    if (failure.m_error.m_id == ErrorId::TermOver)
        return "term";
    if (failure.m_error.m_id != ErrorId::UpstreamSilent)
        return "none";
    if (timeLeft() < leastTimeLeft)
        return "deadline";
    return m_events > 0 ? "pause" : "first-answer";
}

/// Tells whether an attempt ended by this process's own stop, for which its upstream isn't blamed.
bool EntryCall::isGivenUpHere(const CallFailure &failure) const
{
    return failure.m_error.m_id == ErrorId::Cancelled && m_isStopping;
}

/// Counts an attempt that its placement's term ended. Returns true if nothing had been sent: then
/// the upstream isn't blamed, and may be chosen anew unless it leaves.
bool EntryCall::noteTermOver(const PooledUpstream &upstream, const CallFailure &failure)
{
    if (failure.m_error.m_id != ErrorId::TermOver)
        return false;
    const bool isUnsent = failure.m_phase == SendPhase::NothingSent;
    m_traffic.metrics().add(isUnsent ? Counter::TermOverUnsent : Counter::RequestsTakenBack);
    if (isUnsent)
        m_tried.erase(upstream.m_record.m_id);
    return isUnsent;
}

void EntryCall::noteFailure(InFlightGuard &hold, const CallFailure &failure)
{
    if (failure.m_error.m_id == ErrorId::Cancelled && m_isCallerGone)
        return;
    const bool isUnsentInTerm = noteTermOver(hold.upstream(), failure);
    if (!isGivenUpHere(failure) && !isUnsentInTerm)
        UpstreamPool::note(hold.upstream(), AttemptResult::Broken, m_traffic.now());
    if (failure.m_phase == SendPhase::NothingSent) {
        ++m_connectFailures;
    } else {
        ++m_arrivals;
        ++m_mayHaveRun;
        m_timedOut = failure.m_error.m_id == ErrorId::UpstreamSilent;
    }
    m_traffic.log().warning(
            "attempt-failed",
            {m_caller.m_id,
             hold.upstream().m_record.m_id,
             {LogField::ErrorName, errorName(failure.m_error.m_id)},
             {LogField::Text, failure.m_error.m_text},
             {LogField::Reason, passedLimit(failure)},
             {LogField::UnacknowledgedBytes, failure.m_unacknowledged},
             {LogField::Outcome,
              failure.m_phase == SendPhase::NothingSent ? "not-run" : "may-have-run"}});
}

EntryCall::Reading EntryCall::readWhole(OpenAnswer &answer)
{
    HttpReply reply;
    reply.m_status = answer.m_exchange.status();
    reply.m_headers = platform::callerHeaders(answer.m_exchange.headers());
    for (;;) {
        auto piece = answer.m_exchange.read(std::max(timeLeft(), Duration::zero()));
        if (auto *failure = std::get_if<CallFailure>(&piece))
            return std::move(*failure);
        auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            return reply;
        reply.m_body += *text;
    }
}

/// Passes on an answer whole: a caller never sees the beginning of one that breaks off.
void EntryCall::serveWhole()
{
    for (;;) {
        Opening opening = openAnswer();
        if (const auto *stop = std::get_if<AttemptStop>(&opening)) {
            conclude(*stop);
            return;
        }
        auto &answer = std::get<OpenAnswer>(opening);
        Reading reading = readWhole(answer);
        if (const auto *failure = std::get_if<CallFailure>(&reading)) {
            // Counted when it began to answer.
            --m_arrivals;
            --m_mayHaveRun;
            noteFailure(answer.m_hold, *failure);
            continue;
        }
        noteRan();
        auto &reply = std::get<HttpReply>(reading);
        const bool isServerError = reply.m_status >= 500;
        UpstreamPool::note(answer.m_hold.upstream(),
                           isServerError ? AttemptResult::ServerError : AttemptResult::Good,
                           m_traffic.now());
        if (!isServerError || !m_route->isRetryable()) {
            passOn(reply);
            return;
        }
        m_fallback = std::move(reply);
    }
}

/// Counts the request for its account's usage, once however often it ran.
void EntryCall::noteRan()
{
    if (std::exchange(m_isUsageCounted, true) || !m_account)
        return;
    m_traffic.countUsage(m_account->m_id);
}

} // namespace gypsumdale
