#include <gypsumdale/entry/entry_waiting.hpp>

#include <algorithm> // any_of, max
#include <initializer_list> // initializer_list
#include <optional> // optional
#include <utility> // exchange, move
#include <vector> // vector

#include <boost/fiber/future/promise.hpp>

namespace gypsumdale {

namespace {

/// Interval at which waits are checked for their end. No wait is shorter than a few of them.
constexpr Duration checkInterval = std::chrono::milliseconds(10);

constexpr LogEvent accountRemoved("turn-account-removed");
constexpr LogEvent routeRemoved("turn-route-removed");

bool hasAccount(const ServingView &view, const AccountId &id)
{
    const std::vector<ClientAccount> &accounts = view.config().m_accounts;
    return std::any_of(accounts.begin(), accounts.end(),
                       [&id](const ClientAccount &account) { return account.m_id == id; });
}

/// Returns the event that tells what a request needs and a configuration no longer has, or nothing.
std::optional<LogEvent> removalOf(const TurnRequest &request, const ServingView &view)
{
    if (!request.m_account.isEmpty() && !hasAccount(view, request.m_account))
        return accountRemoved;
    if (!view.findRoute(request.m_host, request.m_path))
        return routeRemoved;
    return std::nullopt;
}

} // namespace

/// Wakes the fiber of a request that waits.
struct EntryWaiting::Turn::Signal
{
    boost::fibers::promise<void> m_promise;
};

EntryWaiting::Turn::Turn(EntryWaiting &waiting, const TurnRequest &request)
    : m_waiting(waiting)
    , m_request(request)
{
    ServiceGate &gate = m_waiting.gateOf(request.m_service);
    m_waiting.updateRoom(request.m_service, gate);
    m_decision = gate.arrive(request.m_gate, m_waiting.m_clock.now());
    if (m_decision.m_verdict == TurnVerdict::Waits) {
        m_signal = std::make_shared<Signal>();
        m_waiting.m_turns[request.m_service][m_decision.m_turn] = this;
    } else {
        const bool isPlaced = m_decision.m_verdict == TurnVerdict::Placed;
        m_end = isPlaced ? TurnEnd::Placed : TurnEnd::Rejected;
        m_waiting.logDecision(m_request, m_decision);
    }
    m_waiting.giveTurns(request.m_service, gate);
    if (mustWait())
        m_waiting.watch();
}

EntryWaiting::Turn::~Turn()
{
    if (mustWait())
        cancel();
    if (m_end == TurnEnd::Placed)
        m_waiting.finish(*this);
}

TurnEnd EntryWaiting::Turn::await()
{
    if (mustWait()) {
        // The signal outlives this object's use of it by the event loop.
        const std::shared_ptr<Signal> signal = m_signal;
        signal->m_promise.get_future().get();
    }
    return *m_end;
}

void EntryWaiting::Turn::cancel()
{
    if (!mustWait())
        return;
    m_waiting.gateOf(m_request.m_service).remove(m_decision.m_turn);
    m_waiting.m_turns[m_request.m_service].erase(m_decision.m_turn);
    end(TurnEnd::CallerGone, m_decision);
}

void EntryWaiting::Turn::end(TurnEnd end, const TurnDecision &decision)
{
    m_end = end;
    m_decision = decision;
    m_signal->m_promise.set_value();
}

EntryWaiting::EntryWaiting(bool isOn, FiberLoop &loop, UpstreamPool &pool, const Clock &clock,
                           Logger &log, Metrics &metrics, std::uint64_t seed)
    : m_isOn(isOn)
    , m_loop(loop)
    , m_pool(pool)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_seed(seed)
{}

ServiceGate &EntryWaiting::gateOf(const ServiceId &service)
{
    return m_gates.try_emplace(service, m_seed + m_gates.size()).first->second;
}

void EntryWaiting::updateRoom(const ServiceId &service, ServiceGate &gate)
{
    const TimePoint now = m_clock.now();
    RoomInputs room;
    for (const PooledUpstreamPointer &upstream : m_pool.placeable(service)) {
        if (m_pool.backpressure().isResting(upstream->process(), now))
            continue;
        room.m_slots += std::max(upstream->m_record.m_slots, 0);
        room.m_inFlight += std::max(upstream->running(), 0);
    }
    room.m_nodes = std::max<std::size_t>(m_nodes, 1);
    room.m_reporting = m_pool.reportingPeers() + 1;
    room.m_reportAge = m_pool.reportAge(now);
    if (const auto change = gate.setRoom(room, now))
        logChange(service, gate, *change);
}

void EntryWaiting::giveTurns(const ServiceId &service, ServiceGate &gate)
{
    for (const TurnDecision &decision : gate.takeTurns(m_clock.now()))
        wake(service, decision);
}

void EntryWaiting::wake(const ServiceId &service, const TurnDecision &decision)
{
    const auto found = m_turns[service].extract(decision.m_turn);
    if (found.empty())
        return;
    Turn &turn = *found.mapped();
    logDecision(turn.m_request, decision);
    const bool isPlaced = decision.m_verdict == TurnVerdict::Placed;
    turn.end(isPlaced ? TurnEnd::Placed : TurnEnd::Rejected, decision);
}

void EntryWaiting::finish(const Turn &turn)
{
    const ServiceId &service = turn.m_request.m_service;
    ServiceGate &gate = gateOf(service);
    gate.finish(turn.m_decision.m_turn, turn.m_servedTokens, m_clock.now());
    if (gate.waiting() == 0)
        return;
    updateRoom(service, gate);
    giveTurns(service, gate);
}

void EntryWaiting::refresh()
{
    for (auto &[service, gate] : m_gates) {
        if (gate.waiting() == 0)
            continue;
        updateRoom(service, gate);
        giveTurns(service, gate);
    }
}

std::size_t EntryWaiting::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, gate] : m_gates)
        count += gate.waiting();
    return count;
}

/// Checks for waits that are over, as long as there are any.
void EntryWaiting::watch()
{
    if (std::exchange(m_isWatching, true))
        return;
    m_loop.spawn([this] {
        while (const std::size_t count = waiting()) {
            m_metrics.set(Gauge::RequestsWaiting, static_cast<std::int64_t>(count));
            sleepFiber(checkInterval);
            refresh();
        }
        m_metrics.set(Gauge::RequestsWaiting, 0);
        m_isWatching = false;
    });
}

void EntryWaiting::setPeer(const std::string &node, std::int64_t incarnation,
                           const std::map<ServiceId, ServiceTurnsReport> &turns)
{
    if (!m_isOn)
        return;
    for (const auto &[service, report] : turns)
        gateOf(service).setPeer(
                node, static_cast<std::uint64_t>(std::max<std::int64_t>(incarnation, 0)), report);
    for (auto &[service, gate] : m_gates) {
        if (!turns.contains(service))
            gate.removePeer(node);
    }
}

void EntryWaiting::removePeer(const std::string &node)
{
    for (auto &[service, gate] : m_gates)
        gate.removePeer(node);
}

void EntryWaiting::setView(const ServingView &view)
{
    for (auto &[service, turns] : m_turns) {
        for (auto entry = turns.begin(); entry != turns.end();) {
            Turn &turn = *entry->second;
            const TurnRequest &request = turn.m_request;
            const auto removal = removalOf(request, view);
            if (!removal) {
                ++entry;
                continue;
            }
            gateOf(service).remove(turn.m_decision.m_turn);
            entry = turns.erase(entry);
            m_log.info(*removal, {request.m_request, service, request.m_account});
            turn.end(TurnEnd::NotAllowed, turn.m_decision);
        }
    }
}

void EntryWaiting::drain()
{
    for (auto &[service, gate] : m_gates) {
        updateRoom(service, gate);
        for (const TurnDecision &decision : gate.drain(m_clock.now()))
            wake(service, decision);
    }
}

std::map<ServiceId, ServiceTurnsReport> EntryWaiting::report()
{
    std::map<ServiceId, ServiceTurnsReport> result;
    for (auto &[service, gate] : m_gates) {
        updateRoom(service, gate);
        giveTurns(service, gate);
        if (auto report = gate.report(m_clock.now()))
            result.emplace(service, *std::move(report));
    }
    return result;
}

std::map<ServiceId, GateView> EntryWaiting::views() const
{
    std::map<ServiceId, GateView> result;
    for (const auto &[service, gate] : m_gates)
        result.emplace(service, gate.view());
    return result;
}

void EntryWaiting::logChange(const ServiceId &service, const ServiceGate &gate, RoomChange change)
{
    const RoomInputs &room = gate.room().inputs();
    const std::initializer_list<LogFieldValue> fields = {
            service,
            {LogField::Reason, enumName(roomChangeNames, change)},
            {LogField::Slots, room.m_slots},
            {LogField::InFlight, room.m_inFlight},
            {LogField::Running, gate.inFlight()},
            {LogField::Window, gate.room().window()},
            {LogField::Demand, room.m_ownDemand},
            {LogField::FleetDemand, room.m_fleetDemand},
            {LogField::Count, room.m_nodes},
            {LogField::AgeMillis, toMillis(room.m_reportAge)},
            {LogField::Waiting, gate.waiting()}};
    if (gate.isShort())
        m_log.info("service-short", fields);
    else
        m_log.info("service-not-short", fields);
}

/// Logs a request that waited or was rejected. One that is placed at once has `request-placed`.
void EntryWaiting::logDecision(const TurnRequest &request, const TurnDecision &decision)
{
    const bool isPlaced = decision.m_verdict == TurnVerdict::Placed;
    if (isPlaced && decision.m_waited == Duration::zero())
        return;
    if (!isPlaced)
        m_metrics.add(Counter::TurnsRejected);
    const ServiceGate &gate = gateOf(request.m_service);
    const RoomInputs &room = gate.room().inputs();
    const std::initializer_list<LogFieldValue> fields = {
            request.m_request,
            request.m_service,
            request.m_account,
            {LogField::Reason, enumName(turnReasonNames, decision.m_reason)},
            {LogField::Priority, request.m_gate.m_priority},
            {LogField::Tokens, request.m_gate.m_tokens},
            {LogField::HeldMillis, toMillis(decision.m_waited)},
            {LogField::ForecastMillis, toMillis(decision.m_forecast)},
            {LogField::RetryAfterMillis, toMillis(decision.m_retryAfter)},
            {LogField::Slots, room.m_slots},
            {LogField::InFlight, room.m_inFlight},
            {LogField::Running, gate.inFlight()},
            {LogField::Window, gate.room().window()},
            {LogField::Waiting, gate.waiting()}};
    if (isPlaced)
        m_log.info("turn-taken", fields);
    else
        m_log.info("turn-refused", fields);
}

} // namespace gypsumdale
