#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // min

/// Whether a request is let in: its route and account, room at the engines, and the quota.
namespace gypsumdale {

namespace {

constexpr Duration knowledgeCheck = std::chrono::milliseconds(2);

} // namespace

/// Keeps a request that came within moments of the process's start until there is something to
/// decide it on.
void EntryCall::awaitKnowledge()
{
    while (m_traffic.shouldWaitForStartup())
        sleepFiber(knowledgeCheck);
    m_view = m_traffic.view();
}

/// Finds route and account. Answers and returns false where there is none.
bool EntryCall::resolve()
{
    if (!m_view) {
        // Nothing may be denied from ignorance: what is not known here may be allowed.
        answerOwn(statusUnavailable, "no-configuration", retryAfter());
        return false;
    }
    m_route = m_view->findRoute(m_caller.m_host, m_request.path());
    if (!m_route) {
        answerOwn(statusNotFound, "no-route");
        return false;
    }
    m_account = m_caller.m_key.empty() ? nullptr : m_view->findAccount(m_caller.m_key);
    if (!m_account && m_view->requiresKeys() && !m_route->m_isPublic) {
        answerOwn(statusUnauthorized, "unknown-key");
        return false;
    }
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
    if (!m_account)
        return true;
    double cost = 1;
    if (m_account->m_countsTokens) {
        cost = m_caller.m_hasTokenCounts
                       ? static_cast<double>(m_caller.m_promptTokens + m_caller.m_outputTokens)
                       : m_account->m_defaultTokenCost;
    }
    const QuotaDecision decision = m_traffic.quota().admit(*m_account, cost, m_traffic.now());
    if (decision.m_verdict == QuotaVerdict::Admitted)
        return true;
    m_traffic.log().info("request-over-quota",
                         {m_caller.m_id,
                          m_account->m_id,
                          {LogField::Reason, nameIn(quotaVerdictNames, decision.m_verdict)},
                          {LogField::Used, decision.m_capacity - decision.m_level},
                          {LogField::Limit, decision.m_capacity},
                          {LogField::SilentPeers, decision.m_silentPeers}});
    answerOwn(statusTooManyRequests, nameIn(quotaVerdictNames, decision.m_verdict),
              decision.m_retryAfter);
    return false;
}

void EntryCall::drawService()
{
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

/// Rejects a request whose first event is known to come too late. While few engines are left for
/// the load, the least urgent requests wait at them until their deadline passes, and their callers
/// learn nothing until then. It has not been sent anywhere, so that it has not run is true.
bool EntryCall::hasRoomInTime()
{
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
    const ServingService *service = m_view->findService(m_service);
    if (service && service->m_scaling)
        terms.m_bootTime = service->m_scaling->m_bootTime;
    const Duration comeBack =
            FirstEventForecaster::timeUntilCapacity(*forecast, terms, m_traffic.random());
    m_traffic.metrics().add(Counter::NoRoomInTime);
    m_traffic.log().info("no-room-in-time", {m_caller.m_id,
                                             {LogField::Route, m_route->m_name},
                                             {LogField::PromptTokens, m_caller.m_promptTokens},
                                             {LogField::TokensAhead, forecast->m_tokensAhead},
                                             {LogField::ReadingSpeed, request.m_speed},
                                             {LogField::ForecastMillis, toMillis(forecast->m_wait)},
                                             {LogField::DeadlineMillis, toMillis(timeLeft())},
                                             {LogField::AgeMillis, toMillis(forecast->m_reportAge)},
                                             {LogField::RetryAfterMillis, toMillis(comeBack)}});
    answerOwn(statusUnavailable, "no-room-in-time", comeBack);
    return false;
}

} // namespace gypsumdale
