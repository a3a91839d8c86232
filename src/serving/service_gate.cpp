#include <gypsumdale/serving/service_gate.hpp>

#include <algorithm> // clamp, max, min
#include <cmath> // isfinite
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Span of the demand: long enough for a few requests of a VM in a large fleet.
constexpr Duration demandSpan = std::chrono::seconds(8);
/// With less observed time than this, the first requests would count as a high demand.
constexpr Duration minDemandSpan = std::chrono::seconds(1);
/// Time after a shortage for which peers are still told: until the reports of all of them show that
/// it is over.
constexpr Duration reportedAfter = std::chrono::seconds(5);
/// Callers of a VM that is killed learn nothing, so a request never waits longer than this.
constexpr Duration maxWait = std::chrono::seconds(1);
/// The queue holds what is served within this time.
constexpr double queueSeconds = 1.0;
/// Part of the average share that the less urgent classes keep.
constexpr double reservedPart = 0.5;
/// A larger count can't be served by an engine, and would hide all other service.
constexpr std::int64_t maxTokens = 1'000'000;
constexpr int leastUrgent = 9;
/// Maximum age of the peers' reports that is bridged by extrapolation.
constexpr Duration maxExtrapolation = std::chrono::seconds(4);
/// Part of the fleet's unreported service that is assumed. With all of it, one request of an
/// account would put it behind all others for as long as the reports are old, in a fleet where a VM
/// serves an account once in that time.
constexpr double extrapolatedPart = 0.5;
/// Seconds of an even share of the service that an account may be behind the others after its
/// requests were rare.
constexpr double creditSeconds = 4.0;
/// Lead of an account at which its urgent requests still go before others' less urgent ones, in
/// requests of every VM.
constexpr double leadRequests = 3.0;
constexpr double creditRequests = 4.0;
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
constexpr Duration maxRetryDelay = std::chrono::seconds(5);
/// Retry delays are spread over this fraction of the delay, in addition to it.
constexpr double retrySpread = 0.5;

FairQueueSettings queueSettings()
{
    FairQueueSettings settings;
    settings.m_classOrder = ClassOrder::DemandShare;
    return settings;
}

std::uint64_t countedTokens(std::int64_t tokens)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(tokens, 1, maxTokens));
}

double countedWeight(double weight)
{
    return std::isfinite(weight) && weight > 0 ? weight : 1.0;
}

int countedPriority(int priority)
{
    return std::clamp(priority, 0, leastUrgent);
}

/// Returns the latest time at which a request's turn is still of use to its caller.
TimePoint latestTurn(const GateRequest &request, Duration forecast, TimePoint now)
{
    const TimePoint patient = now + std::min(maxWait, forecast + request.m_latencyTarget / 2);
    return std::min(patient, request.m_deadline - request.m_firstEventTime);
}

/// Returns the latest time at which a request's turn still meets its latency target. Where the
/// upstream alone takes more than half of the target, the other half is for the wait.
TimePoint startByTarget(const GateRequest &request, TimePoint now)
{
    const Duration half = request.m_latencyTarget / 2;
    return now + std::max(half, request.m_latencyTarget - request.m_firstEventTime);
}

} // namespace

ServiceGate::ServiceGate(std::uint64_t seed)
    : m_queue(queueSettings())
    , m_arrivals(demandSpan)
    , m_arrivedTokens(demandSpan)
    , m_finished(demandSpan)
    , m_finishedSeconds(demandSpan)
    , m_random(seed)
{}

/// Returns a number between 0 and 1.
double ServiceGate::draw()
{
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_random >> 11) / 9007199254740992.0;
}

std::optional<RoomChange> ServiceGate::setRoom(RoomInputs inputs, TimePoint now)
{
    inputs.m_ownDemand = ownDemand(now);
    inputs.m_fleetDemand = fleetDemand(inputs.m_ownDemand, inputs.m_nodes);
    inputs.m_isReportedShort = !m_peers.empty();
    const std::optional<RoomChange> change = m_room.update(inputs, now);
    if (m_room.isShort())
        updateQueue(now);
    return change;
}

double ServiceGate::ownDemand(TimePoint now)
{
    if (!m_firstArrivalAt)
        return 0;
    const Duration observed = std::clamp(now - *m_firstArrivalAt, minDemandSpan, demandSpan);
    return m_arrivals.sum(now) / toSeconds(observed);
}

/// Returns the requests per second of all VMs. A peer that has not reported counts as the average
/// of those that are known.
double ServiceGate::fleetDemand(double own, std::size_t nodes) const
{
    double known = own;
    for (const auto &[node, peer] : m_peers)
        known += peer.m_demandPerSecond;
    const std::size_t reporting = m_peers.size() + 1;
    if (nodes <= reporting)
        return known;
    return known * static_cast<double>(nodes) / static_cast<double>(reporting);
}

/// Follows the rate of the service, and with it the limits of the queue that are in tokens.
void ServiceGate::updateQueue(TimePoint now)
{
    m_interval = turnInterval(now);
    m_queue.setTurnInterval(m_interval);
    const double mean = meanTokens(now);
    const double factor = std::max(1.0, extrapolatedPart / m_room.demandShare());
    const double seconds = toSeconds(m_interval);
    m_fleetRate = seconds > 0 ? mean / (seconds * m_room.demandShare()) : 0;
    const double accounts = static_cast<double>(std::max<std::size_t>(m_weights.size(), 1));
    const double quantum = factor * mean;
    const double credit = creditRequests * quantum + creditSeconds * m_fleetRate / accounts;
    m_queue.setLimits(leadRequests * quantum, 2 * credit, credit);
    const Duration age = std::clamp(m_room.inputs().m_reportAge, Duration(1), maxExtrapolation);
    m_queue.setExtrapolation(factor, age);
    updateClassShares(now);
}

void ServiceGate::updateClassShares(TimePoint now)
{
    const double all = m_arrivedTokens.sum(now);
    if (all <= 0)
        return;
    std::map<int, double> shares;
    for (auto &[priority, tokens] : m_classTokens)
        shares[priority] = reservedPart * tokens.sum(now) / all;
    m_queue.setClassShares(shares);
}

double ServiceGate::meanTokens(TimePoint now)
{
    return m_arrivedTokens.sum(now) / std::max(m_arrivals.sum(now), 1.0);
}

/// Returns the mean time between the ends of two requests while the window is full; 0 if no request
/// has ended lately.
Duration ServiceGate::turnInterval(TimePoint now)
{
    const double finished = m_finished.sum(now);
    if (finished < 1)
        return {};
    const double held = m_finishedSeconds.sum(now) / finished;
    return fromSeconds(held / static_cast<double>(m_room.window()));
}

void ServiceGate::recordArrival(const GateRequest &request, std::uint64_t tokens, TimePoint now)
{
    if (!m_firstArrivalAt)
        m_firstArrivalAt = now;
    const auto count = static_cast<double>(tokens);
    m_arrivals.add(1, now);
    m_arrivedTokens.add(count, now);
    m_classTokens.try_emplace(countedPriority(request.m_priority), demandSpan)
            .first->second.add(count, now);
}

/// Gives an account and a class their first place in the order, which differs between the VMs: if
/// it was the same, all would serve the same account first.
void ServiceGate::introduce(const GateRequest &request)
{
    const double weight = countedWeight(request.m_weight);
    const auto [known, isNew] = m_weights.try_emplace(request.m_account, weight);
    if (isNew || known->second != weight)
        m_queue.setWeight(request.m_account, weight);
    known->second = weight;
    if (!isNew)
        return;
    const double tokens = static_cast<double>(countedTokens(request.m_tokens));
    m_queue.addOffset(request.m_account, draw() * tokens / (weight * m_room.demandShare()));
    m_queue.addClassCredit(countedPriority(request.m_priority), draw() * tokens);
}

TurnDecision ServiceGate::arrive(const GateRequest &request, TimePoint now)
{
    const std::uint64_t tokens = countedTokens(request.m_tokens);
    recordArrival(request, tokens, now);
    TurnDecision decision;
    decision.m_turn = RequestId(std::to_string(++m_lastTurn));
    if (!m_room.isShort()) {
        place(decision.m_turn, request.m_account, tokens, 0, now);
        return decision;
    }
    introduce(request);
    placeWaiting(now);
    decision.m_forecast = forecastWait(request, tokens, now);
    const bool isFull = inFlight() >= m_room.window();
    const TimePoint useful = std::min({now + maxWait, startByTarget(request, now),
                                       request.m_deadline - request.m_firstEventTime});
    if (isFull && (m_isDraining || now + decision.m_forecast > useful)) {
        decision.m_verdict = TurnVerdict::Rejected;
        decision.m_reason = m_isDraining ? TurnReason::Draining : TurnReason::TooMuchAhead;
        decision.m_retryAfter = retryAfter(request.m_account, tokens);
        ++m_rejections[decision.m_reason];
        return decision;
    }
    WaitingRequest waiting;
    waiting.m_id = decision.m_turn;
    waiting.m_member = request.m_account;
    waiting.m_priority = countedPriority(request.m_priority);
    waiting.m_arrivedAt = now;
    waiting.m_firstTokenDeadline = latestTurn(request, decision.m_forecast, now);
    waiting.m_startBy = startByTarget(request, now);
    waiting.m_promptTokens = static_cast<std::uint32_t>(tokens);
    decision.m_waitsUntil = waiting.m_firstTokenDeadline;
    m_waiting[decision.m_turn] = {now, decision.m_forecast, request.m_account, tokens};
    m_queue.enqueue(std::move(waiting), now);
    placeWaiting(now);
    if (m_queue.waiting() > queueLimit()) {
        if (const auto last = m_queue.removeLast())
            m_decided.push_back(
                    endWait(last->m_id, TurnVerdict::Rejected, TurnReason::QueueFull, now));
    }
    // The decision about this request may be among those just made.
    for (auto made = m_decided.begin(); made != m_decided.end(); ++made) {
        if (made->m_turn != decision.m_turn)
            continue;
        made->m_waitsUntil = decision.m_waitsUntil;
        decision = *made;
        m_decided.erase(made);
        return decision;
    }
    decision.m_verdict = TurnVerdict::Waits;
    decision.m_reason = TurnReason::WindowFull;
    return decision;
}

/// Returns the expected time until the turn of a new request; 0 while the rate is unknown.
Duration ServiceGate::forecastWait(const GateRequest &request, std::uint64_t tokens, TimePoint now)
{
    const double mean = meanTokens(now);
    if (m_interval <= Duration::zero() || mean <= 0 || inFlight() < m_room.window())
        return {};
    const double ahead =
            m_queue.tokensAhead(request.m_account, countedPriority(request.m_priority));
    // The first of the requests in flight ends after half an interval on average.
    const double turns = 0.5 + ahead / std::max(mean, static_cast<double>(tokens));
    return fromSeconds(turns * toSeconds(m_interval));
}

/// Returns how many requests the window serves in one second.
std::size_t ServiceGate::queueLimit() const
{
    const double seconds = toSeconds(m_interval);
    const double served =
            seconds > 0 ? queueSeconds / seconds : static_cast<double>(m_room.window());
    return static_cast<std::size_t>(std::max(served, 1.0));
}

/// Returns when the work that is queued here will be done, or when the other accounts will have
/// received what this one has received beyond them.
Duration ServiceGate::retryAfter(const MemberId &account, std::uint64_t tokens)
{
    double seconds = 0;
    if (m_fleetRate > 0) {
        const double ownRate = m_fleetRate * m_room.demandShare();
        seconds = static_cast<double>(m_queue.waitingTokens() + tokens) / ownRate;
        const std::vector<MemberId> order = m_queue.order();
        const double least =
                order.empty() ? m_queue.service(account) : m_queue.service(order.front());
        const double evenRate = m_fleetRate / static_cast<double>(m_weights.size());
        seconds = std::max(seconds, (m_queue.service(account) - least) / evenRate);
    }
    seconds = std::clamp(seconds, toSeconds(minRetryDelay), toSeconds(maxRetryDelay));
    return fromSeconds(seconds * (1 + retrySpread * draw()));
}

void ServiceGate::place(const RequestId &turn, const MemberId &account, std::uint64_t tokens,
                        std::uint64_t charged, TimePoint now)
{
    m_placed[turn] = {account, charged, tokens, now};
}

/// Places waiting requests while the window has room, or all of them if the service is not short.
void ServiceGate::placeWaiting(TimePoint now)
{
    while (m_queue.waiting() > 0 && (!m_room.isShort() || inFlight() < m_room.window())) {
        const std::optional<WaitingRequest> next = m_queue.next(now);
        if (!next)
            return;
        const TurnReason reason =
                m_room.isShort() ? TurnReason::WithinWindow : TurnReason::EnoughSlots;
        m_decided.push_back(endWait(next->m_id, TurnVerdict::Placed, reason, now));
        place(next->m_id, next->m_member, next->m_promptTokens, next->m_promptTokens, now);
    }
}

TurnDecision ServiceGate::endWait(const RequestId &turn, TurnVerdict verdict, TurnReason reason,
                                  TimePoint now)
{
    TurnDecision decision;
    decision.m_turn = turn;
    decision.m_verdict = verdict;
    decision.m_reason = reason;
    const auto known = m_waiting.find(turn);
    if (known == m_waiting.end())
        return decision;
    decision.m_waited = now - known->second.m_arrivedAt;
    decision.m_forecast = known->second.m_forecast;
    if (verdict == TurnVerdict::Rejected) {
        decision.m_retryAfter = retryAfter(known->second.m_account, known->second.m_tokens);
        ++m_rejections[reason];
    }
    m_waiting.erase(known);
    return decision;
}

std::vector<TurnDecision> ServiceGate::takeTurns(TimePoint now)
{
    for (const ExpiredRequest &expired : m_queue.expire(now))
        m_decided.push_back(
                endWait(expired.m_request, TurnVerdict::Rejected, TurnReason::WaitedTooLong, now));
    placeWaiting(now);
    return std::exchange(m_decided, {});
}

bool ServiceGate::remove(const RequestId &turn)
{
    m_waiting.erase(turn);
    return m_queue.cancel(turn);
}

std::vector<TurnDecision> ServiceGate::drain(TimePoint now)
{
    m_isDraining = true;
    placeWaiting(now);
    for (const WaitingRequest &request : m_queue.removeAllWaiting())
        m_decided.push_back(
                endWait(request.m_id, TurnVerdict::Rejected, TurnReason::Draining, now));
    return std::exchange(m_decided, {});
}

void ServiceGate::finish(const RequestId &turn, std::int64_t tokens, TimePoint now)
{
    const auto found = m_placed.find(turn);
    if (found == m_placed.end())
        return;
    const Placed placed = found->second;
    m_placed.erase(found);
    const bool hasRun = tokens > 0;
    if (placed.m_charged > 0)
        m_queue.correctCharge(placed.m_account, placed.m_charged,
                              hasRun ? countedTokens(tokens) : 0);
    if (!hasRun)
        return;
    m_finished.add(1, now);
    m_finishedSeconds.add(toSeconds(now - placed.m_at), now);
}

void ServiceGate::setPeer(const std::string &node, std::uint64_t incarnation,
                          const ServiceTurnsReport &report)
{
    const double demand = std::isfinite(report.m_demandPerSecond) ? report.m_demandPerSecond : 0;
    m_peers[node] = {std::max(demand, 0.0), std::max<std::int64_t>(report.m_waiting, 0)};
    m_queue.mergePeer(NodeId(node), incarnation, report.m_served);
}

std::optional<ServiceTurnsReport> ServiceGate::report(TimePoint now)
{
    if (!m_room.wasShortWithin(reportedAfter, now))
        return std::nullopt;
    ServiceTurnsReport report;
    report.m_served = m_queue.ownCounts();
    report.m_waiting = static_cast<std::int64_t>(m_queue.waiting());
    report.m_demandPerSecond = ownDemand(now);
    return report;
}

GateView ServiceGate::view() const
{
    GateView view;
    view.m_state = m_room.state();
    view.m_room = m_room.inputs();
    view.m_window = m_room.window();
    view.m_ownInFlight = inFlight();
    view.m_waiting = m_queue.waiting();
    for (const auto &[node, peer] : m_peers)
        view.m_peersWaiting += peer.m_waiting;
    view.m_order = m_queue.order();
    view.m_rejections = m_rejections;
    return view;
}

} // namespace gypsumdale
