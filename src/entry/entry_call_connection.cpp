#include <entry/entry_call.hpp>

#include <algorithm> // clamp, min

/// How a request waits for a connection where its service limits them.
namespace gypsumdale {

namespace {

/// Longest wait for a connection. Callers of a VM that is killed are told nothing, so requests are
/// not held for long.
constexpr Duration maxConnectionWait = std::chrono::seconds(1);
/// Part (1/n) of the latency target that may pass in waiting.
constexpr int waitTargetDivisor = 2;
constexpr Duration maxConnectionRetryAfter = std::chrono::seconds(5);

} // namespace

/// Waits until a connection is free. Answers the request and returns false if there is none in
/// time.
bool EntryCall::hasConnection()
{
    const std::optional<AttemptStop> stop = awaitConnection();
    if (stop)
        finishUnserved(*stop);
    return !stop;
}

Duration EntryCall::connectionWaitLeft() const
{
    const Duration bound =
            std::min(m_route->m_latencyTarget / waitTargetDivisor, maxConnectionWait);
    const Duration waitedForTurn = m_turn ? m_turn->waited() : Duration::zero();
    return std::min(bound - waitedForTurn - m_waitedForConnection, timeLeft() - minTimeLeft);
}

/// Waits in order until an upstream has a free connection. Returns nothing if the request may be
/// placed now, and otherwise why it ends.
std::optional<AttemptStop> EntryCall::awaitConnection()
{
    const UpstreamPool &pool = m_traffic.pool();
    if (!pool.limitsConnections(m_service) || m_traffic.relay().isUsedFor(m_service))
        return std::nullopt;
    ConnectionWaiting &waiting = m_traffic.connections();
    const auto shortage = pool.connectionShortage(placement(), m_traffic.now());
    if (!shortage && (m_connectionPlace || !waiting.isAwaited(m_service)))
        return std::nullopt;
    m_connectionPlace.reset();
    if (const auto stop = attemptStopReason())
        return stop;
    const Duration left = connectionWaitLeft();
    const ConnectionWaitDecision decision = waiting.decide(m_service, priority(), left);
    m_connectionPlace.emplace(waiting, m_service, priority(), m_arrivedAt, [this] {
        return !m_traffic.pool().connectionShortage(placement(), m_traffic.now());
    });
    if (m_connectionPlace->hasTurn())
        return std::nullopt;
    if (decision.m_verdict != ConnectionWaitVerdict::Wait)
        return rejectForConnection(shortage.value_or(ConnectionDecision{}), decision);
    const TimePoint beganAt = m_traffic.now();
    const bool hasTurn = m_connectionPlace->wait(left);
    const Duration waited = m_traffic.now() - beganAt;
    m_waitedForConnection += waited;
    if (hasTurn) {
        m_traffic.log().info("connection-awaited",
                             {m_caller.m_id, m_service, {LogField::Millis, toMillis(waited)}});
        return attemptStopReason();
    }
    m_connectionPlace.reset();
    if (const auto stop = attemptStopReason())
        return stop;
    return rejectForConnection(shortage.value_or(ConnectionDecision{}),
                               waiting.decide(m_service, priority(), connectionWaitLeft()));
}

/// Records that a request gets no connection in time.
AttemptStop EntryCall::rejectForConnection(const ConnectionDecision &shortage,
                                           const ConnectionWaitDecision &wait)
{
    m_connectionPlace.reset();
    m_stopRetryAfter = std::clamp(wait.m_expected, Duration::zero(), maxConnectionRetryAfter);
    m_traffic.metrics().add(Counter::NoConnection);
    m_traffic.log().info("no-connection",
                         {m_caller.m_id,
                          m_service,
                          {LogField::Route, m_route->m_name},
                          {LogField::Reason, enumName(connectionWaitVerdictNames, wait.m_verdict)},
                          {LogField::State, enumName(connectionVerdictNames, shortage.m_verdict)},
                          {LogField::Limit, shortage.m_limit},
                          {LogField::Share, shortage.m_share},
                          {LogField::Count, shortage.m_vms},
                          {LogField::Running, shortage.m_own},
                          {LogField::OthersRunning, shortage.m_reported},
                          {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
                          {LogField::RetryAfterMillis, toMillis(m_stopRetryAfter)}});
    return AttemptStop::NoConnection;
}

} // namespace gypsumdale
