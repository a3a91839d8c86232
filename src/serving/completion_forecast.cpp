#include <gypsumdale/serving/completion_forecast.hpp>

#include <algorithm> // max
#include <cstddef> // size_t
#include <set> // set

namespace gypsumdale {

namespace {

/// Recorded requests of a route.
constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 4;
/// Part of the requests that end in time where the process would rather serve than refuse.
constexpr double likelyPart = 0.9;
/// A request of unknown duration is assumed to take this multiple of its latency target.
constexpr int assumedTargets = 2;

} // namespace

DurationForecast DurationForecast::without(Duration served) const
{
    return {std::max(m_percentile90 - served, Duration::zero()),
            std::max(m_longest - served, Duration::zero())};
}

void CompletionForecaster::record(const std::string &route, Duration duration, TimePoint now)
{
    const auto [entry, isFirst] = m_routes.try_emplace(route);
    Completions &completions = entry->second;
    if (isFirst) {
        completions.m_since = now - duration;
        completions.m_recent.set_capacity(maxSamples);
    }
    completions.m_recent.push_back({now - duration, now});
}

/// Returns what was observed since the oldest of the recorded requests ended; all of it while none
/// was dropped yet.
RequestLifetimes CompletionForecaster::lifetimesOf(const Completions &completions, TimePoint now,
                                                   const std::vector<TimePoint> &underWay)
{
    const auto &recent = completions.m_recent;
    const auto observedFrom = [&recent](TimePoint arrivedAt) {
        if (!recent.full())
            return Duration::zero();
        return std::max(recent.front().m_endedAt - arrivedAt, Duration::zero());
    };
    RequestLifetimes lifetimes;
    for (const Completion &request : recent)
        lifetimes.addEnded(observedFrom(request.m_arrivedAt),
                           request.m_endedAt - request.m_arrivedAt);
    for (const TimePoint arrivedAt : underWay)
        lifetimes.addUnderWay(observedFrom(arrivedAt), now - arrivedAt);
    return lifetimes;
}

std::optional<DurationForecast>
CompletionForecaster::forecast(const ServingRoute &route, TimePoint now,
                               const std::vector<TimePoint> &underWay) const
{
    const auto found = m_routes.find(route.m_name);
    if (found == m_routes.end() || found->second.m_recent.size() < minSamples
        || now - found->second.m_since < route.m_timeout)
        return std::nullopt;
    const RequestLifetimes lifetimes = lifetimesOf(found->second, now, underWay);
    return DurationForecast{lifetimes.percentile(likelyPart), lifetimes.longest()};
}

void CompletionForecaster::retainRoutes(const ServingConfig &config)
{
    std::set<std::string> names;
    for (const ServingRoute &route : config.m_routes)
        names.insert(route.m_name);
    std::erase_if(m_routes, [&names](const auto &entry) { return !names.contains(entry.first); });
}

std::optional<DurationForecast> assumedDuration(const ServingRoute &route)
{
    if (route.m_kind == RouteRepeatSafety::Stream)
        return std::nullopt;
    const Duration assumed = assumedTargets * route.m_latencyTarget;
    return DurationForecast{assumed, assumed};
}

} // namespace gypsumdale
