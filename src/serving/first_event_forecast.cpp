#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/first_event_forecast.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

/// With fewer requests, a single long prompt would dominate the mix.
constexpr double minRequests = 16;
/// Older reports are no evidence of an engine's state. VMs exchange reports four times a second;
/// two lost ones in a row mean a link or a VM in trouble, or a fleet too large for the comparison.
constexpr Duration maxReportAge = std::chrono::milliseconds(500);
/// Fraction of the remaining time that a forecast must exceed. It is below one because the forecast
/// leaves out what makes the wait longer: more urgent requests that arrive later, and long prompts,
/// which are read more slowly than shorter ones.
constexpr double lateThreshold = 0.8;
/// Retry delays are spread over this fraction of the delay, in addition to it. Callers that all
/// return at one moment would form the next queue.
constexpr double retrySpread = 0.5;
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);

} // namespace

void FirstEventForecaster::recordPlacement(const ServiceId &service, int priority,
                                           std::int64_t promptTokens, std::int64_t ownTokens,
                                           TimePoint now)
{
    RequestMix &mix = m_requestMixes[service];
    mix.m_requests.add(1, now);
    mix.m_promptTokens.add(static_cast<double>(promptTokens), now);
    mix.m_ownTokens.try_emplace(priority, mixSpan)
            .first->second.add(static_cast<double>(ownTokens), now);
}

/// Returns the fraction of an engine's waiting prompt tokens that is read before a request: the
/// tokens of requests that are at least as urgent, without the parts that engines cache.
std::optional<double> FirstEventForecaster::fractionAhead(const ForecastRequest &request,
                                                          TimePoint now)
{
    const auto found = m_requestMixes.find(request.m_placement.m_service);
    if (found == m_requestMixes.end())
        return std::nullopt;
    RequestMix &mix = found->second;
    const double all = mix.m_promptTokens.sum(now);
    if (mix.m_requests.sum(now) < minRequests || all <= 0)
        return std::nullopt;
    double ahead = 0;
    for (auto &[priority, ownTokens] : mix.m_ownTokens) {
        if (priority <= request.m_priority)
            ahead += ownTokens.sum(now);
    }
    return ahead / all;
}

std::optional<FirstEventForecast> FirstEventForecaster::forecast(const ForecastRequest &request,
                                                                 const UpstreamPool &pool,
                                                                 TimePoint now)
{
    FirstEventForecast forecast;
    forecast.m_reportAge = pool.reportAge(now);
    if (request.m_speed <= 0 || forecast.m_reportAge > maxReportAge)
        return std::nullopt;
    const std::optional<double> fraction = fractionAhead(request, now);
    if (!fraction)
        return std::nullopt;
    const PlacementRequest &placement = request.m_placement;
    const double own = static_cast<double>(
            std::max<std::int64_t>(0, placement.m_promptTokens - placement.m_sharedTokens));
    std::optional<double> least;
    for (const EngineBacklog &backlog : pool.backlogs(placement, now)) {
        const double ahead = *fraction * static_cast<double>(backlog.m_pendingTokens);
        const double seconds = (ahead + own) / backlog.m_speed.valueOr(request.m_speed);
        if (least && *least <= seconds)
            continue;
        least = seconds;
        forecast.m_tokensAhead = static_cast<std::int64_t>(ahead);
    }
    if (!least)
        return std::nullopt;
    // Engines have continued reading since the reports.
    forecast.m_wait = std::max(Duration::zero(), fromSeconds(*least) - forecast.m_reportAge);
    return forecast;
}

bool FirstEventForecaster::isTooLate(const FirstEventForecast &forecast, Duration timeLeft)
{
    return toSeconds(forecast.m_wait) > lateThreshold * toSeconds(timeLeft);
}

Duration FirstEventForecaster::timeUntilCapacity(const FirstEventForecast &forecast,
                                                 const CapacityTimeInputs &terms, double draw)
{
    Duration delay = forecast.m_wait - terms.m_latencyTarget;
    if (terms.m_bootTime)
        delay = std::min(delay, *terms.m_bootTime);
    delay = std::max(delay, minRetryDelay);
    return delay + fromSeconds(retrySpread * draw * toSeconds(delay));
}

} // namespace gypsumdale
