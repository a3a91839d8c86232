#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange, move

/// How a request waits for a silent run, and sends others beside it.
namespace gypsumdale {

namespace {

/// Interval at which a second run is tried again that could not be sent.
constexpr Duration hedgeRetryInterval = std::chrono::milliseconds(250);

} // namespace

bool EntryCall::arrives(UpstreamAnswer &run, AnswerPart part, Duration limit)
{
    if (part == AnswerPart::Header)
        return run.m_exchange.awaitHeader(limit);
    return run.m_exchange.awaitBody(limit);
}

void EntryCall::awaitPart(UpstreamAnswer &run, AnswerPart part)
{
    const Duration delay = hedgeDelay(silentRun(part));
    const TimePoint silentSince = part == AnswerPart::Header ? run.m_placedAt : m_traffic.now();
    TimePoint nextHedgeAt = m_route->isRetryable() ? silentSince + delay : TimePoint::max();
    bool isLogged = false;
    m_awaited = &run;
    for (;;) {
        const Duration untilHedge = nextHedgeAt - m_traffic.now();
        if (arrives(run, part, std::max(std::min(timeLeft(), untilHedge), Duration::zero())))
            break;
        if (takeOver(run))
            break;
        if (timeLeft() <= Duration::zero())
            break;
        const bool haveFailed = !m_hedges.isEmpty() && !m_hedges.isAnyUnderWay();
        if (haveFailed)
            m_hedges.drop();
        else if (m_traffic.now() < nextHedgeAt)
            continue;
        const HedgeVerdict verdict = hedge(delay);
        if (!std::exchange(isLogged, true))
            logSilence(run, verdict);
        nextHedgeAt = isFinal(verdict) ? m_deadline : m_traffic.now() + hedgeRetryInterval;
    }
    m_awaited = nullptr;
    if (isLogged && !run.m_exchange.failure())
        logSilenceEnd(run, m_traffic.now() - silentSince);
}

/// Waits for the runs that were sent beside one that has failed since. Returns the first that
/// delivers, or nothing if none does.
std::optional<UpstreamAnswer> EntryCall::awaitHedged()
{
    while (!m_hedges.isEmpty()) {
        const Duration delay = hedgeDelay(silentRun(AnswerPart::Body));
        const bool hasEnded = m_hedges.wait(std::clamp(timeLeft(), Duration::zero(), delay));
        if (auto winner = m_hedges.takeDelivering()) {
            m_cancellation = winner->m_cancellation;
            m_splitter.reset();
            return std::move(winner->m_answer);
        }
        if (hasEnded || timeLeft() <= Duration::zero())
            m_hedges.drop();
        else
            hedge(delay);
    }
    return std::nullopt;
}

SilentRun EntryCall::silentRun(AnswerPart part) const
{
    return {part == AnswerPart::Body, m_events > 0, m_route->m_latencyTarget};
}

/// Returns the number of runs that were sent and of which it isn't known yet whether they have
/// begun.
int EntryCall::outstandingRuns() const
{
    const bool isWaiting = m_awaited && m_awaited->m_stage == RunStage::Waiting;
    return m_hedges.waiting() + (isWaiting ? 1 : 0);
}

/// Sends another run beside those that are silent, if that is allowed and there is a place for it.
HedgeVerdict EntryCall::hedge(Duration delay)
{
    HedgeView view;
    view.m_isRepeatable = m_route->isRetryable() && !m_isCrashTrial;
    view.m_possibleRuns = m_attempts.possibleRuns();
    view.m_outstandingRuns = outstandingRuns();
    view.m_maxAttempts = maxAttempts();
    const bool isRelayed = m_traffic.relay().isUsedFor(m_service);
    view.m_hasFailedToConnect = hasFailedToConnect() && !isRelayed;
    view.m_isSuspected = isQuarantined() || m_traffic.crashes().mustWait(m_caller.m_id);
    const bool mayRun = !m_isCallerGone && !m_isShuttingDown && endsBeforeStop();
    view.m_timeLeft = mayRun ? timeLeft() : Duration::zero();
    view.m_minTimeLeft = minTimeLeft;
    const HedgeVerdict verdict = decideHedge(view);
    if (verdict != HedgeVerdict::Sent)
        return verdict;
    return isRelayed ? hedgeAtPeer() : hedgeAtUpstream(delay);
}

HedgeVerdict EntryCall::hedgeAtUpstream(Duration delay)
{
    UpstreamPool &pool = m_traffic.pool();
    const std::optional<TimePoint> until = m_traffic.placementDeadline();
    if (!until)
        return HedgeVerdict::ListTooOld;
    PlacementRequest request = placement();
    const std::set<UpstreamId> silent =
            pool.silentUpstreams(m_service, quietLimit(delay), m_traffic.now());
    request.m_excluded.insert(silent.begin(), silent.end());
    const bool isShort = pool.limitsConnections(m_service)
                         && (pool.connectionShortage(request, m_traffic.now())
                             || m_traffic.connections().isAwaited(m_service));
    if (isShort)
        return HedgeVerdict::NoConnection;
    request.m_draw = m_traffic.draw();
    request.m_isAnnounced = m_traffic.shouldAnnounce(m_service, ownTokens());
    const PooledUpstreamPointer upstream = chooseUpstream(request);
    if (!upstream)
        return silent.empty() ? HedgeVerdict::NoUpstream : HedgeVerdict::AllSilent;
    if (!m_traffic.takeRetry(m_service))
        return HedgeVerdict::NoRetry;
    startHedge(place(upstream, request, *until), false);
    return HedgeVerdict::Sent;
}

HedgeVerdict EntryCall::hedgeAtPeer()
{
    const PooledUpstreamPointer peer = choosePeer();
    if (!peer)
        return HedgeVerdict::NoUpstream;
    if (!m_traffic.takeRetry(m_service))
        return HedgeVerdict::NoRetry;
    startHedge(placeAtPeer(peer), true);
    return HedgeVerdict::Sent;
}

void EntryCall::startHedge(PlacedRun placed, bool isRelayed)
{
    HedgedRun &hedged = m_hedges.add(std::move(placed), isRelayed);
    m_traffic.spawn([this, &hedged] { runHedge(hedged); });
}

/// Body of a hedged run's fiber.
void EntryCall::runHedge(HedgedRun &hedged)
{
    CallResult<UpstreamAnswer> sent = hedged.m_isRelayed
                                              ? sendToPeer(hedged.m_placed, hedged.m_cancellation)
                                              : send(hedged.m_placed, hedged.m_cancellation);
    bool isDelivering = false;
    if (const auto *failure = std::get_if<CallFailure>(&sent)) {
        recordFailedHedge(hedged, hedged.m_placed.m_guard, *failure);
    } else {
        hedged.m_answer = std::get<UpstreamAnswer>(std::move(sent));
        isDelivering = delivers(hedged);
    }
    // A failed run's connection must not stay open for as long as the request.
    if (!isDelivering)
        hedged.m_answer.reset();
    m_hedges.recordEnd(hedged, isDelivering ? HedgeState::Delivering : HedgeState::Failed);
    if (m_awaited)
        m_awaited->m_exchange.interrupt();
}

/// Waits until a part of a hedged run's answer can be read. Returns false if the run fails.
bool EntryCall::delivers(HedgedRun &hedged)
{
    UpstreamAnswer &answer = *hedged.m_answer;
    answer.m_exchange.awaitHeader(timeLeft());
    if (!answer.m_exchange.hasHeader()) {
        const CallFailure failure = answer.m_exchange.giveUp();
        recordVersionFailure(answer, failure);
        recordFailedHedge(hedged, answer.m_guard, failure);
        return false;
    }
    if (!beginsWell(hedged) || !mayFollow(answer))
        return false;
    answer.m_exchange.awaitBody(timeLeft());
    const std::optional<CallFailure> failure = answer.m_exchange.failure();
    if (failure && !hedged.m_isDropped)
        recordBrokenAnswer(answer, *failure);
    return !failure && !hedged.m_isDropped;
}

/// Handles the header of a hedged run's answer. Returns whether it is better than silence.
bool EntryCall::beginsWell(HedgedRun &hedged)
{
    UpstreamAnswer &answer = *hedged.m_answer;
    if (hedged.m_isRelayed) {
        std::optional<AttemptOutcome> outcome = takeRelayedHeader(answer);
        auto *taken = outcome ? std::get_if<UpstreamAnswer>(&*outcome) : nullptr;
        if (!taken)
            return false;
        hedged.m_answer = std::move(*taken);
    } else if (!takeHeader(answer)) {
        return false;
    }
    const int status = hedged.m_answer->m_exchange.status();
    const bool isStream = m_route->m_kind == RouteRepeatSafety::Stream;
    if (isStream ? status / 100 == 2 : status < statusInternalError)
        return true;
    recordVersionAnswer(*hedged.m_answer, status >= statusInternalError);
    UpstreamPool::note(hedged.m_answer->m_guard.upstream(), AttemptResult::ServerError,
                       m_traffic.now());
    return false;
}

/// Records that a hedged run failed before its answer began. One that was dropped says nothing of
/// its upstream, but may have run.
void EntryCall::recordFailedHedge(HedgedRun &hedged, InFlightGuard &guard,
                                  const CallFailure &failure)
{
    if (hedged.m_isDropped)
        m_attempts.recordFailure(failure.m_phase);
    else if (hedged.m_isRelayed)
        recordRelayFailure(guard.upstream(), failure);
    else
        recordAttemptFailure(guard, failure);
}

/// Replaces a silent run by one that delivers, if there is one.
bool EntryCall::takeOver(UpstreamAnswer &run)
{
    std::optional<HedgedRun> winner = m_hedges.takeDelivering();
    if (!winner)
        return false;
    recordGivenUp(run);
    run = *std::move(winner->m_answer);
    m_cancellation = winner->m_cancellation;
    m_hedges.drop();
    m_splitter.reset();
    return true;
}

/// Records a run that was silent while another one delivered.
void EntryCall::recordGivenUp(UpstreamAnswer &run)
{
    const CallFailure failure = run.m_exchange.giveUp();
    if (run.m_stage != RunStage::Waiting)
        recordBrokenAnswer(run, failure);
    else if (run.m_isRelayed)
        recordRelayFailure(run.m_guard.upstream(), failure);
    else
        recordAttemptFailure(run.m_guard, failure);
}

void EntryCall::logSilence(const UpstreamAnswer &run, HedgeVerdict verdict)
{
    m_traffic.log().info("run-silent",
                         {m_caller.m_id,
                          run.m_guard.upstream().m_record.m_id,
                          {LogField::Reason, m_events > 0 ? "pause" : "first-answer"},
                          {LogField::Outcome, enumName(hedgeVerdictNames, verdict)},
                          {LogField::Events, m_events},
                          {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)}});
}

/// Logs that a run which was silent goes on, or another one in its place.
void EntryCall::logSilenceEnd(const UpstreamAnswer &run, Duration silence)
{
    m_traffic.log().info("silence-ended", {m_caller.m_id,
                                           run.m_guard.upstream().m_record.m_id,
                                           {LogField::Millis, toMillis(silence)}});
}

} // namespace gypsumdale
