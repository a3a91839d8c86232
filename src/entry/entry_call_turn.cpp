#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // any_of, max

/// How a request waits for its turn while its service is short of slots.
namespace gypsumdale {

/// Waits for the request's turn. Sends an answer and returns false if it gets none. Only requests
/// of this VM's own callers wait: a peer that relays one has let it wait before.
bool EntryCall::awaitTurn()
{
    if (!m_traffic.waiting().isOn() || m_source != CallSource::Caller)
        return true;
    for (;;) {
        if (m_traffic.relay().isUsedFor(m_service))
            return true;
        const ServiceId queuedFor = m_service;
        m_turn.emplace(m_traffic.waiting(), turnRequest());
        const bool hasWaited = m_turn->mustWait();
        m_responder.onCallerGone([this] {
            m_isCallerGone = true;
            m_turn->cancel();
        });
        const TurnEnd end = m_turn->await();
        m_responder.onCallerGone(nullptr);
        switch (end) {
        case TurnEnd::Placed:
            if (!hasWaited)
                return true;
            if (!judgeAgain())
                return false;
            if (m_service == queuedFor)
                return true;
            // A new configuration routes it to another service, which has its own queue.
            m_turn.reset();
            break;
        case TurnEnd::Rejected: {
            const Duration retryAfter = m_turn->retryAfter();
            m_turn.reset();
            sendOwnAnswer(statusUnavailable, "no-turn", retryAfter);
            return false;
        }
        case TurnEnd::CallerGone:
            m_turn.reset();
            finishUnserved(AttemptStop::CallerGone);
            return false;
        case TurnEnd::NotAllowed:
            m_turn.reset();
            break;
        }
        if (!judgeAgain())
            return false;
    }
}

/// Applies a configuration that came into force during a wait. Sends an answer and returns false if
/// it doesn't allow the request.
bool EntryCall::judgeAgain()
{
    if (m_traffic.view() == m_view)
        return true;
    m_view = m_traffic.view();
    if (!findRouteAndAccount())
        return false;
    const bool hasService = std::any_of(
            m_route->m_services.begin(), m_route->m_services.end(),
            [this](const WeightedService &target) { return target.m_service == m_service; });
    if (!hasService)
        selectService();
    return true;
}

TurnRequest EntryCall::turnRequest()
{
    TurnRequest request;
    request.m_request = m_caller.m_id;
    request.m_service = m_service;
    if (m_account)
        request.m_account = m_account->m_id;
    request.m_host = m_caller.m_host;
    request.m_path = m_request.path();
    GateRequest &gate = request.m_gate;
    gate.m_account = MemberId(m_account ? m_account->m_id.text() : std::string("public"));
    gate.m_priority = priority();
    if (m_caller.m_hasTokenCounts)
        gate.m_tokens = m_caller.m_promptTokens + m_caller.m_outputTokens;
    gate.m_latencyTarget = m_route->m_latencyTarget;
    gate.m_deadline = m_deadline;
    const double speed = m_traffic.tokensWithin(m_service, std::chrono::seconds(1));
    if (speed > 0)
        gate.m_firstEventTime =
                fromSeconds(static_cast<double>(std::max<std::int64_t>(ownTokens(), 0)) / speed);
    return request;
}

/// Returns what the request took of its service in tokens: its prompt, and the events where more
/// were sent than it announced. A request that was not run took nothing.
std::int64_t EntryCall::servedTokens() const
{
    if (!m_attempts.mayHaveRun())
        return 0;
    if (!m_caller.m_hasTokenCounts)
        return 1;
    const auto events = static_cast<std::int64_t>(m_events);
    const std::int64_t tokens = m_caller.m_promptTokens + std::max(m_caller.m_outputTokens, events);
    return std::max<std::int64_t>(tokens, 1);
}

} // namespace gypsumdale
