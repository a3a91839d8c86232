#include <entry/entry_call.hpp>
#include <entry/run_mover.hpp>

#include <algorithm> // clamp, max
#include <charconv> // from_chars
#include <utility> // exchange, move

/// How a request's stream is passed on, resumed and followed to another engine.
namespace gypsumdale {

namespace {

/// Longest silence within a stream that can go on elsewhere. Callers leave a stream after two
/// seconds or more without an event.
constexpr Duration streamSilence = std::chrono::milliseconds(1200);
/// How often a request whose run is being moved looks whether the copy is complete.
constexpr Duration moveCheck = std::chrono::milliseconds(5);

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
        Opening opening = openAnswer();
        if (const auto *stop = std::get_if<AttemptStop>(&opening)) {
            conclude(*stop);
            return;
        }
        auto &answer = std::get<OpenAnswer>(opening);
        if (answer.m_exchange.status() / 100 != 2) {
            Reading reading = readWhole(answer);
            const auto *reply = std::get_if<HttpReply>(&reading);
            UpstreamPool::note(answer.m_hold.upstream(), AttemptResult::ServerError,
                               m_traffic.now());
            noteRan();
            if (reply && !m_hasBegun)
                m_fallback = *reply;
            if (!m_route->isRetryable() || (reply && reply->m_status < 500)) {
                conclude(AttemptStop::NotAllowed);
                return;
            }
            continue;
        }
        if (passStream(answer))
            return;
        if (m_isCallerGone) {
            conclude(AttemptStop::CallerGone);
            return;
        }
        if (!m_route->isRetryable()) {
            conclude(AttemptStop::NotAllowed);
            return;
        }
        m_splitter.reset();
    }
}

/// Tells whether a stream is cut into events, as it may have to go on after one of them.
bool EntryCall::cutsEvents() const
{
    if (m_route->isRetryable())
        return true;
    const ServingService *service = m_view->findService(m_service);
    return service && service->m_engine && service->m_engine->m_canMoveRuns;
}

bool EntryCall::passStream(OpenAnswer &answer)
{
    if (m_route->isRetryable() || !cutsEvents())
        return passRun(answer);
    std::optional<OpenAnswer> moved;
    OpenAnswer *current = &answer;
    for (;;) {
        m_run = std::make_shared<StreamRun>();
        m_run->m_request = m_caller.m_id;
        m_run->m_upstream = current->m_hold.pointer();
        m_traffic.mover().add(m_run);
        const bool isWhole = passRun(*current);
        m_traffic.mover().remove(m_run);
        if (isWhole || m_isCallerGone)
            return isWhole;
        std::optional<OpenAnswer> next = followMove();
        if (!next)
            return false;
        moved.emplace(std::move(*next));
        current = &*moved;
        m_splitter.reset();
    }
}

/// Returns the term of a run that goes on at an upstream, or nothing where none is left or known.
std::shared_ptr<PlacementCallDeadline> EntryCall::termAt(const PooledUpstream &upstream) const
{
    const bool isLeaving = upstream.m_isGone || upstream.m_record.m_isDraining;
    const std::optional<TimePoint> until =
            isLeaving ? m_traffic.deadlineWhileLeaving(upstream) : m_traffic.placementDeadline();
    if (!until)
        return nullptr;
    return std::make_shared<PlacementCallDeadline>(
            m_traffic, *until, isLeaving ? DeadlineRenewal::None : DeadlineRenewal::OnConfirmation);
}

std::optional<OpenAnswer> EntryCall::followMove()
{
    // The stream of a run that is moved ends before the copy is complete.
    const auto isOver = [this] {
        return m_isCallerGone || m_isStopping || timeLeft() < leastTimeLeft;
    };
    while (m_run->m_isMoving && !isOver())
        sleepFiber(moveCheck);
    if (!m_run->m_moved || isOver())
        return std::nullopt;
    const MovedRun moved = *m_run->m_moved;
    // The memory went with the process that held it.
    if (moved.m_upstream->m_isReplaced)
        return std::nullopt;
    const std::shared_ptr<PlacementCallDeadline> term = termAt(*moved.m_upstream);
    if (!term) {
        m_traffic.log().warning("moved-run-too-late",
                                {m_caller.m_id,
                                 moved.m_upstream->m_record.m_id,
                                 {LogField::ListAgeMillis, toMillis(m_traffic.listAge())}});
        return std::nullopt;
    }
    m_memory = moved.m_memory;
    logPlaced(*moved.m_upstream, term->until());
    InFlightGuard hold(moved.m_upstream, 0);
    CallResult<HttpExchange> opened = send(hold, term);
    m_memory.reset();
    if (const auto *failure = std::get_if<CallFailure>(&opened)) {
        noteFailure(hold, *failure);
        return std::nullopt;
    }
    ++m_arrivals;
    auto &exchange = std::get<HttpExchange>(opened);
    if (!takes(exchange, *moved.m_upstream))
        return std::nullopt;
    if (exchange.status() / 100 != 2) {
        m_traffic.log().warning("moved-run-refused", {m_caller.m_id,
                                                      moved.m_upstream->m_record.m_id,
                                                      {LogField::Status, exchange.status()}});
        return std::nullopt;
    }
    return OpenAnswer{std::move(exchange), std::move(hold), std::nullopt};
}

bool EntryCall::passRun(OpenAnswer &answer)
{
    for (;;) {
        const Duration silence =
                m_route->isRetryable() ? std::max(streamSilence, m_events == 0 ? firstAnswerLimit()
                                                                               : Duration::zero())
                                       : Duration::max();
        const Duration limit = std::clamp(timeLeft(), Duration::zero(), silence);
        auto piece = answer.m_exchange.read(limit);
        if (auto *failure = std::get_if<CallFailure>(&piece)) {
            --m_arrivals;
            --m_mayHaveRun;
            noteFailure(answer.m_hold, *failure);
            return false;
        }
        const auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            break;
        if (!passPiece(*text, answer))
            return false;
    }
    if (m_splitter.hasPartial())
        return false;
    UpstreamPool::note(answer.m_hold.upstream(), AttemptResult::Good, m_traffic.now());
    if (!m_hasBegun && !beginStream(answer))
        return false;
    if (!m_responder.finish()) {
        m_isCallerGone = true;
        return false;
    }
    m_series->record(Latency::Total, m_traffic.now() - m_arrivedAt);
    m_series->add(RequestCounter::Done);
    logEnd("done", answer.m_exchange.status());
    return true;
}

/// The first piece of an answer tells that the prompt has been read.
void EntryCall::noteFirstEvent(OpenAnswer &answer)
{
    answer.m_hold.onPromptRead();
    if (const auto since = std::exchange(answer.m_aloneSince, std::nullopt))
        m_traffic.reading().own(m_service).recordUncontended(ownTokens(), m_traffic.now() - *since);
}

bool EntryCall::passPiece(const std::string &piece, OpenAnswer &answer)
{
    noteFirstEvent(answer);
    noteRan();
    if (cutsEvents())
        return passEvents(piece, answer);
    if (!m_hasBegun && !beginStream(answer))
        return false;
    ++m_events;
    return forward(piece);
}

/// Passes on whole events only, and none twice: what a broken run left half said is said again by
/// the run that goes on after its last whole event.
bool EntryCall::passEvents(const std::string &piece, OpenAnswer &answer)
{
    std::string bytes;
    for (const StreamEvent &event : m_splitter.push(piece)) {
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
    if (!m_hasBegun && !beginStream(answer))
        return false;
    return forward(bytes);
}

bool EntryCall::beginStream(OpenAnswer &answer)
{
    m_hasBegun = true;
    m_begunAt = m_traffic.now();
    m_lastEventAt = m_begunAt;
    m_series->record(Latency::FirstToken, m_begunAt - m_arrivedAt);
    const bool isGood = m_responder.begin(answer.m_exchange.status(),
                                          platform::callerHeaders(answer.m_exchange.headers()));
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
    m_isCallerGone = m_isCallerGone || !isGood;
    return isGood;
}

} // namespace gypsumdale
