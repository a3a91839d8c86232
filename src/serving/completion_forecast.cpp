#include <gypsumdale/serving/completion_forecast.hpp>

#include <algorithm> // max, max_element, nth_element
#include <cstddef> // ptrdiff_t, size_t
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Recorded requests of a route.
constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 4;
/// One request in this many takes longer than the 90th percentile.
constexpr std::size_t longerDivisor = 10;
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
        completions.m_durations.set_capacity(maxSamples);
    }
    completions.m_durations.push_back(duration);
}

std::optional<DurationForecast> CompletionForecaster::forecast(const ServingRoute &route,
                                                               TimePoint now) const
{
    const auto found = m_routes.find(route.m_name);
    if (found == m_routes.end() || found->second.m_durations.size() < minSamples
        || now - found->second.m_since < route.m_timeout)
        return std::nullopt;
    const auto &recorded = found->second.m_durations;
    std::vector<Duration> durations(recorded.begin(), recorded.end());
    const std::size_t longer = durations.size() / longerDivisor;
    const auto percentile90 = durations.end() - static_cast<std::ptrdiff_t>(longer + 1);
    std::nth_element(durations.begin(), percentile90, durations.end());
    return DurationForecast{*percentile90, *std::max_element(percentile90, durations.end())};
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
