#include <gypsumdale/serving/retry_budget_share.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// Fraction of the budget that is used. A request and its retry may fall into different windows,
/// which users count separately.
constexpr double usedFraction = 0.8;

} // namespace

RetryBudgetShare::Usage &RetryBudgetShare::usageOf(const ServiceId &service)
{
    return m_usages.try_emplace(service, m_settings.m_window).first->second;
}

void RetryBudgetShare::noteRequest(const ServiceId &service, TimePoint now)
{
    usageOf(service).m_requests.add(1, now);
}

double RetryBudgetShare::left(const ServiceId &service, TimePoint now)
{
    Usage &usage = usageOf(service);
    const double allowed =
            m_settings.m_ratio * usage.m_requests.sum(now) + m_settings.m_slack / m_fleetSize;
    return usedFraction * allowed - usage.m_retries.sum(now);
}

bool RetryBudgetShare::tryTake(const ServiceId &service, TimePoint now)
{
    if (left(service, now) < 1)
        return false;
    usageOf(service).m_retries.add(1, now);
    return true;
}

void RetryBudgetShare::setFleetSize(std::size_t nodes)
{
    m_fleetSize = std::max(1.0, static_cast<double>(nodes));
}

} // namespace gypsumdale
