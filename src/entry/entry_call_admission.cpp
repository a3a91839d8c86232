#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // min

/// Decides whether a request is admitted: its route and account, the engines' capacity, and the
/// quota.
namespace gypsumdale {

namespace {

constexpr Duration startupCheckInterval = std::chrono::milliseconds(2);

} // namespace

/// Holds a request that arrives shortly after the start of the process until a configuration and
/// upstreams are known, or the wait is over.
void EntryCall::awaitStartupData()
{
    while (m_traffic.shouldWaitForStartup())
        sleepFiber(startupCheckInterval);
    m_view = m_traffic.view();
}

/// Finds route and account in the view. Sends an error answer and returns false if the request is
/// not allowed.
bool EntryCall::findRouteAndAccount()
{
    m_route = m_view->findRoute(m_caller.m_host, m_request.path());
    if (!m_route) {
        sendOwnAnswer(statusNotFound, "no-route");
        return false;
    }
    m_account = m_caller.m_key.empty() ? nullptr : m_view->findAccount(m_caller.m_key);
    if (!m_account && m_view->requiresKeys() && !m_route->m_isPublic) {
        sendOwnAnswer(statusUnauthorized, "unknown-key");
        return false;
    }
    return true;
}

/// Finds route and account. Sends an error answer and returns false if there is none.
bool EntryCall::resolve()
{
    if (isFromLaterConfiguration()) {
        refuseRelay("older-configuration");
        return false;
    }
    if (!m_view) {
        // Without a configuration nothing may be rejected permanently: the request may be allowed.
        sendOwnAnswer(statusUnavailable, "no-configuration", retryAfter());
        return false;
    }
    if (!findRouteAndAccount())
        return false;
    const Duration timeout =
            std::min(m_caller.m_timeLeft.value_or(m_route->m_timeout), m_route->m_timeout);
    m_deadline = m_arrivedAt + timeout;
    const MemberId member(m_account ? m_account->m_id.text() : std::string("public"));
    m_series = &m_traffic.metrics().series(member, ProfileId(m_route->m_name));
    m_series->add(RequestCounter::Received);
    return true;
}

bool EntryCall::admitByQuota()
{
    // The VM of the caller has charged a relayed request.
    if (!m_account || m_source == CallSource::Peer)
        return true;
    double cost = 1;
    if (m_account->m_countsTokens) {
        cost = m_caller.m_hasTokenCounts
                       ? static_cast<double>(m_caller.m_promptTokens + m_caller.m_outputTokens)
                       : m_account->m_defaultTokenCost;
    }
    const QuotaDecision decision = m_traffic.admitByQuota(*m_account, cost);
    if (decision.m_verdict == QuotaVerdict::Admitted)
        return true;
    m_traffic.log().info("request-over-quota",
                         {m_caller.m_id,
                          m_account->m_id,
                          {LogField::Reason, enumName(quotaVerdictNames, decision.m_verdict)},
                          {LogField::Used, decision.m_capacity - decision.m_level},
                          {LogField::Limit, decision.m_capacity},
                          {LogField::SilentPeers, decision.m_silentPeers}});
    sendOwnAnswer(statusTooManyRequests, enumName(quotaVerdictNames, decision.m_verdict),
                  decision.m_retryAfter);
    return false;
}

/// Finds where a stream began that the client takes up. Sends an error answer and returns false if
/// it can't go on.
bool EntryCall::bindStream()
{
    if (m_route->m_kind != RouteRepeatSafety::Stream)
        return true;
    std::optional<StreamOrigin> relayed;
    if (m_source == CallSource::Peer)
        relayed = platform::relayedOrigin(m_request.m_headers);
    const auto reason = m_binding.resolve(*m_route, relayed);
    if (!reason)
        return true;
    sendOwnAnswer(statusUnavailable, *reason, retryAfter());
    return false;
}

/// Rejects a stream that would go on if none of its service's upstreams can.
bool EntryCall::hasUpstreamToGoOn()
{
    if (!m_binding.isBound() || m_traffic.relay().isUsedFor(m_service))
        return true;
    const PlacementRequest request = placement();
    if (m_traffic.pool().choose(request, m_traffic.now())
        || m_traffic.pool().connectionShortage(request, m_traffic.now())
        || m_traffic.pool().backpressureWait(request, m_traffic.now()))
        return true;
    finishUnserved(AttemptStop::NoSameVersion);
    return false;
}

/// Draws one of the route's services by weight. A stream goes on at the one where it began.
void EntryCall::selectService()
{
    if (m_binding.isBound()) {
        m_service = m_binding.origin()->m_service;
        return;
    }
    double weights = 0;
    for (const WeightedService &target : m_route->m_services)
        weights += target.m_weight;
    double drawn = m_traffic.random() * weights;
    for (const WeightedService &target : m_route->m_services) {
        m_service = target.m_service;
        drawn -= target.m_weight;
        if (drawn < 0)
            break;
    }
}

/// Rejects a request whose first event is forecast to arrive after the deadline. If the engines
/// can't handle the load, requests of the lowest priority would wait at them until their deadline
/// passes, and their callers would learn nothing before. The request has not been sent anywhere, so
/// the answer that it has not run is true.
bool EntryCall::canMeetDeadline()
{
    // A peer that relays the request forecasts its first event.
    if (m_traffic.relay().isUsedFor(m_service))
        return true;
    if (m_route->m_kind != RouteRepeatSafety::Stream || m_caller.m_promptTokens == 0)
        return true;
    ForecastRequest request;
    request.m_placement = placement();
    request.m_priority = priority();
    request.m_speed = m_traffic.tokensWithin(m_service, std::chrono::seconds(1));
    const auto forecast =
            m_traffic.forecaster().forecast(request, m_traffic.pool(), m_traffic.now());
    if (!forecast || !FirstEventForecaster::isTooLate(*forecast, timeLeft()))
        return true;
    CapacityTimeInputs terms;
    terms.m_latencyTarget = m_route->m_latencyTarget;
    const ServingServicePointer service = m_view->findService(m_service);
    if (service && service->m_scaling)
        terms.m_bootTime = service->m_scaling->m_bootTime;
    const Duration retryDelay =
            FirstEventForecaster::timeUntilCapacity(*forecast, terms, m_traffic.random());
    m_traffic.metrics().add(Counter::NoCapacityInTime);
    m_traffic.log().info("no-room-in-time", {m_caller.m_id,
                                             {LogField::Route, m_route->m_name},
                                             {LogField::PromptTokens, m_caller.m_promptTokens},
                                             {LogField::TokensAhead, forecast->m_tokensAhead},
                                             {LogField::ReadingSpeed, request.m_speed},
                                             {LogField::ForecastMillis, toMillis(forecast->m_wait)},
                                             {LogField::DeadlineMillis, toMillis(timeLeft())},
                                             {LogField::AgeMillis, toMillis(forecast->m_reportAge)},
                                             {LogField::RetryAfterMillis, toMillis(retryDelay)}});
    sendOwnAnswer(statusUnavailable, "no-room-in-time", retryDelay);
    return false;
}

} // namespace gypsumdale
