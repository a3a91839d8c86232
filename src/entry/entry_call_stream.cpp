#include <entry/entry_call.hpp>
#include <entry/run_mover.hpp>

#include <algorithm> // max
#include <charconv> // from_chars
#include <utility> // exchange, move

/// How a request's stream is forwarded, resumed, and continued at another engine.
namespace gypsumdale {

namespace {

/// Interval at which a request checks whether the copy of its moving run is complete.
constexpr Duration moveCheckInterval = std::chrono::milliseconds(5);

std::optional<std::int64_t> eventNumber(const std::optional<std::string> &id)
{
    if (!id)
        return std::nullopt;
    std::int64_t number = 0;
    const auto read = std::from_chars(id->data(), id->data() + id->size(), number);
    if (read.ec != std::errc() || read.ptr != id->data() + id->size())
        return std::nullopt;
    return number;
}

} // namespace

void EntryCall::serveStream()
{
    for (;;) {
        AttemptOutcome attempt = awaitAnswer();
        if (const auto *stop = std::get_if<AttemptStop>(&attempt)) {
            finishUnserved(*stop);
            return;
        }
        auto &answer = std::get<UpstreamAnswer>(attempt);
        if (answer.m_exchange.status() / 100 != 2) {
            AnswerReadResult reading = readFullAnswer(answer);
            auto *reply = std::get_if<HttpReply>(&reading);
            const int status = answer.m_exchange.status();
            if (const auto *failure = std::get_if<CallFailure>(&reading))
                recordBrokenAnswer(answer, *failure);
            else
                UpstreamPool::note(answer.m_guard.upstream(), AttemptResult::ServerError,
                                   m_traffic.now());
            recordUsage();
            recordVersionAnswer(answer, status >= 500);
            if (reply && !m_hasStreamStarted)
                m_fallback = std::move(*reply);
            if (!m_route->isRetryable() || (reply && status < 500)) {
                finishUnserved(AttemptStop::NotAllowed);
                return;
            }
            continue;
        }
        if (mayFollow(answer) && forwardStream(answer))
            return;
        if (m_isCallerGone) {
            finishUnserved(AttemptStop::CallerGone);
            return;
        }
        if (!m_route->isRetryable() || m_responder.isTooLargeToBuffer()) {
            finishUnserved(AttemptStop::NotAllowed);
            return;
        }
        m_splitter.reset();
    }
}

/// Returns whether a stream is split into events because it may have to continue after one of them.
bool EntryCall::splitsEvents() const
{
    if (m_route->isRetryable())
        return true;
    const ServingServicePointer service = m_view->findService(m_service);
    return service && service->m_engine && service->m_engine->m_canMoveRuns;
}

bool EntryCall::forwardStream(UpstreamAnswer &answer)
{
    if (m_route->isRetryable() || !splitsEvents())
        return forwardRun(answer);
    std::optional<UpstreamAnswer> moved;
    UpstreamAnswer *current = &answer;
    for (;;) {
        m_run = std::make_shared<StreamRun>();
        m_run->m_request = m_caller.m_id;
        m_run->m_upstream = current->m_guard.pointer();
        m_traffic.mover().add(m_run);
        const bool isComplete = forwardRun(*current);
        m_traffic.mover().remove(m_run);
        if (isComplete || m_isCallerGone || m_responder.isTooLargeToBuffer())
            return isComplete;
        std::optional<UpstreamAnswer> next = resumeMovedRun();
        if (!next)
            return false;
        moved.emplace(std::move(*next));
        current = &*moved;
        m_splitter.reset();
    }
}

/// Returns the delivery deadline of a run that continues at an upstream, or nothing if it has
/// passed or is unknown.
std::shared_ptr<PlacementCallDeadline> EntryCall::deadlineAt(const PooledUpstream &upstream) const
{
    const bool isLeaving = upstream.m_isGone || upstream.m_record.m_isDraining;
    const std::optional<TimePoint> until =
            isLeaving ? m_traffic.deadlineWhileLeaving(upstream) : m_traffic.placementDeadline();
    if (!until)
        return nullptr;
    return std::make_shared<PlacementCallDeadline>(
            m_traffic, *until, isLeaving ? DeadlineRenewal::None : DeadlineRenewal::OnConfirmation);
}

std::optional<UpstreamAnswer> EntryCall::resumeMovedRun()
{
    // The stream of a run that is stopped ends before the answer to that call arrives.
    const auto isOver = [this] {
        return m_isCallerGone || m_isShuttingDown || timeLeft() < minTimeLeft;
    };
    while (m_run->m_isStopping && !isOver())
        sleepFiber(moveCheckInterval);
    for (const RunContinuation &continuation : m_run->m_continuations) {
        if (isOver())
            break;
        Resumption resumption = resumeAt(continuation);
        if (auto *answer = std::get_if<UpstreamAnswer>(&resumption))
            return std::move(*answer);
        if (std::get<ResumeFailure>(resumption) == ResumeFailure::Taken)
            break;
    }
    if (!m_run->m_continuations.empty())
        m_traffic.log().warning("moved-run-lost",
                                {m_caller.m_id, m_run->m_upstream->m_record.m_id});
    return std::nullopt;
}

/// Returns the delivery deadline of a stopped run at an upstream, or nothing if it can't go on
/// there.
std::shared_ptr<PlacementCallDeadline> EntryCall::deadlineOf(const RunContinuation &continuation)
{
    const PooledUpstream &upstream = *continuation.m_upstream;
    // The memory was lost with the process that held it.
    if (upstream.m_isReplaced)
        return nullptr;
    std::shared_ptr<PlacementCallDeadline> deadline = deadlineAt(upstream);
    if (!deadline) {
        m_traffic.log().warning("moved-run-too-late",
                                {m_caller.m_id,
                                 upstream.m_record.m_id,
                                 {LogField::ListAgeMillis, toMillis(m_traffic.listAge())}});
        return nullptr;
    }
    if (m_traffic.pool().backpressure().isResting(upstream.process(), m_traffic.now())) {
        m_traffic.log().warning("moved-run-not-wanted", {m_caller.m_id, upstream.m_record.m_id});
        return nullptr;
    }
    return deadline;
}

EntryCall::Resumption EntryCall::resumeAt(const RunContinuation &continuation)
{
    const PooledUpstreamPointer &upstream = continuation.m_upstream;
    const std::shared_ptr<PlacementCallDeadline> deadline = deadlineOf(continuation);
    if (!deadline)
        return ResumeFailure::NotTaken;
    m_memory = continuation.m_memory;
    logPlaced(*upstream, deadline->until());
    InFlightGuard guard(upstream, 0);
    CallResult<HttpExchange> opened =
            m_traffic.client().open(watchedCall(guard, deadline, beginAttempt()));
    m_memory.reset();
    if (const auto *failure = std::get_if<CallFailure>(&opened)) {
        recordAttemptFailure(guard, *failure);
        // The memory is used once: if the request was taken all the same, the next upstream refuses
        // to go on from it.
        return ResumeFailure::NotTaken;
    }
    m_attempts.recordAnswer();
    auto &exchange = std::get<HttpExchange>(opened);
    recordBackpressure(exchange, *upstream);
    const int status = exchange.status();
    const int runsBefore = m_attempts.possibleRuns();
    if (!acceptsAnswer(exchange, *upstream)) {
        const bool hasNotRun = m_attempts.possibleRuns() == runsBefore;
        return hasNotRun ? ResumeFailure::NotTaken : ResumeFailure::Taken;
    }
    if (status / 100 != 2) {
        m_traffic.log().warning(
                "moved-run-refused",
                {m_caller.m_id, upstream->m_record.m_id, {LogField::Status, status}});
        return ResumeFailure::Taken;
    }
    UpstreamAnswer answer{std::move(exchange), std::move(guard), m_traffic.now(), std::nullopt,
                          originAt(*upstream)};
    answer.m_stage = RunStage::Begun;
    if (!mayFollow(answer))
        return ResumeFailure::Taken;
    return answer;
}

/// Returns where the events of an upstream's answer come from. If another process has taken its id,
/// it isn't known which of them answers.
StreamOrigin EntryCall::originAt(const PooledUpstream &upstream) const
{
    const SoftwareVersion &version = upstream.m_record.m_softwareVersion;
    return {m_service, upstream.m_isReplaced ? SoftwareVersion() : version};
}

/// Returns whether an answer's events may follow those that the client holds.
bool EntryCall::mayFollow(UpstreamAnswer &answer)
{
    if (m_binding.allows(answer.m_origin))
        return true;
    m_traffic.log().warning("answer-of-other-version", {m_caller.m_id,
                                                        answer.m_guard.upstream().m_record.m_id,
                                                        answer.m_origin.m_softwareVersion,
                                                        {LogField::TargetSoftwareVersion,
                                                         m_binding.origin()->m_softwareVersion}});
    return false;
}

/// Binds the stream to where its first event comes from, which is about to be forwarded.
void EntryCall::recordOrigin(const UpstreamAnswer &answer)
{
    if (!m_binding.begin(answer.m_origin) || !m_route->isRetryable())
        return;
    // The client's last attempt may be under way to another VM when its time is over.
    constexpr Duration takeUpMargin = std::chrono::seconds(5);
    const Duration lifetime = m_caller.m_timeLeft.value_or(m_route->m_timeout) + takeUpMargin;
    m_binding.record(lifetime, m_source == CallSource::Peer);
}

bool EntryCall::forwardRun(UpstreamAnswer &answer)
{
    for (;;) {
        awaitPart(answer, AnswerPart::Body);
        auto piece = answer.m_exchange.read(std::max(timeLeft(), Duration::zero()));
        if (auto *failure = std::get_if<CallFailure>(&piece)) {
            recordBrokenAnswer(answer, *failure);
            return false;
        }
        m_hedges.drop();
        answer.m_guard.upstream().m_lastHeardAt = m_traffic.now();
        const auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            break;
        if (!processBytes(*text, answer))
            return false;
        if (const std::optional<CallFailure> exceeded = exceededEventLimit()) {
            recordBrokenAnswer(answer, *exceeded);
            return false;
        }
    }
    if (isTruncated(answer)) {
        recordBrokenAnswer(answer, {{ErrorId::AnswerTruncated, "the stream ended within an event"},
                                    SendPhase::AnswerStarted});
        return false;
    }
    UpstreamPool::note(answer.m_guard.upstream(), AttemptResult::Good, m_traffic.now());
    if (!m_hasStreamStarted && !beginStream(answer))
        return false;
    if (!m_responder.finish()) {
        m_isCallerGone = true;
        return false;
    }
    m_series->record(Latency::Total, m_traffic.now() - m_arrivedAt);
    m_series->add(RequestCounter::Done);
    recordCompletion();
    logEnd("done", answer.m_exchange.status());
    return true;
}

/// Returns the failure of a stream whose event has grown too large, by itself or beside what other
/// answers hold.
std::optional<CallFailure> EntryCall::exceededEventLimit()
{
    CallFailure failure{{ErrorId::UpstreamFailed, "an event doesn't end"},
                        SendPhase::AnswerStarted};
    if (m_splitter.isTooLong() || m_eventBoundary.isTooLong()) {
        failure.m_isAnswerTooLarge = true;
        return failure;
    }
    if (m_eventShare.resize(m_splitter.pendingBytes()))
        return std::nullopt;
    failure.m_error.m_text = "the memory for answers is used up by an event that doesn't end";
    failure.m_isMemoryUsedUp = true;
    return failure;
}

/// Returns whether a stream that ended properly, as far as its connection tells, lacks its end. One
/// without a length or chunks ends with its connection, whatever closed that.
bool EntryCall::isTruncated(const UpstreamAnswer &answer) const
{
    const bool isCloseDelimited = answer.m_exchange.isCloseDelimited();
    const bool isMoved = m_run && (m_run->m_isStopping || !m_run->m_continuations.empty());
    if (isCloseDelimited && (isMoved || answer.m_stage != RunStage::Delivering))
        return true;
    return m_splitter.hasPartial() || m_eventBoundary.isWithinEvent();
}

/// The first bytes of an answer show that the prompt has been read.
void EntryCall::recordFirstEvent(UpstreamAnswer &answer)
{
    answer.m_guard.onPromptRead();
    recordVersionAnswer(answer, false);
    if (const auto since = std::exchange(answer.m_readAloneSince, std::nullopt))
        m_traffic.reading().own(m_service).recordUncontended(ownTokens(), m_traffic.now() - *since);
    if (const auto since = std::exchange(answer.m_speedSampleSince, std::nullopt))
        m_traffic.speeds().record(answer.m_guard.upstream().m_record, ownTokens(),
                                  m_traffic.now() - *since, m_traffic.now());
}

bool EntryCall::processBytes(const std::string &piece, UpstreamAnswer &answer)
{
    recordFirstEvent(answer);
    recordUsage();
    if (splitsEvents())
        return forwardEvents(piece, answer);
    m_eventBoundary.push(piece);
    if (!m_eventBoundary.isWithinEvent())
        recordDelivery(answer);
    if (!m_hasStreamStarted && !beginStream(answer))
        return false;
    ++m_events;
    return forward(piece);
}

/// Forwards complete events only, and none twice: an event that a broken run sent incompletely is
/// repeated by the run that continues after the last complete one.
bool EntryCall::forwardEvents(const std::string &piece, UpstreamAnswer &answer)
{
    std::string bytes;
    for (const StreamEvent &event : m_splitter.push(piece)) {
        recordDelivery(answer);
        const auto number = eventNumber(event.m_id);
        const auto last = eventNumber(m_lastEventId);
        if (number && last && *number <= *last)
            continue;
        if (event.m_id)
            m_lastEventId = event.m_id;
        ++m_events;
        bytes += event.m_bytes;
    }
    if (bytes.empty())
        return true;
    if (!m_hasStreamStarted && !beginStream(answer))
        return false;
    recordOrigin(answer);
    return forward(bytes);
}

bool EntryCall::beginStream(UpstreamAnswer &answer)
{
    m_hasStreamStarted = true;
    m_streamStartedAt = m_traffic.now();
    m_lastEventAt = m_streamStartedAt;
    m_series->record(Latency::FirstToken, m_streamStartedAt - m_arrivedAt);
    HttpHeaders headers = forwardedHeaders(answer);
    if (m_source == CallSource::Peer)
        platform::addRelayedOrigin(headers, answer.m_origin);
    const bool isGood = m_responder.begin(answer.m_exchange.status(), headers);
    m_isCallerGone = m_isCallerGone || !isGood;
    return isGood;
}

bool EntryCall::forward(std::string_view bytes)
{
    const TimePoint now = m_traffic.now();
    m_series->record(Latency::BetweenTokens, now - m_lastEventAt);
    m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
    const bool isGood = m_responder.write(bytes);
    if (m_responder.isTooLargeToBuffer())
        recordTooLargeToBuffer();
    else
        m_isCallerGone = m_isCallerGone || !isGood;
    return isGood;
}

/// Records a stream that was given up because its caller can't read chunks and it grew too large to
/// be buffered.
void EntryCall::recordTooLargeToBuffer()
{
    m_traffic.metrics().add(Counter::AnswersTooLarge);
    m_traffic.log().warning(
            "stream-too-large-to-buffer",
            {m_caller.m_id, {LogField::Events, m_events}, {LogField::Outcome, "may-have-run"}});
}

} // namespace gypsumdale
