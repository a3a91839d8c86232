#include <gypsumdale/serving/completion_forecast.hpp>

#include <algorithm> // max_element, nth_element
#include <cstddef> // ptrdiff_t, size_t
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Recorded requests of a route.
constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 4;
/// One request in this many takes longer than is likely.
constexpr std::size_t unlikelyDivisor = 10;
/// A request of unknown duration is assumed to take this multiple of its latency target.
constexpr int assumedTargets = 2;

} // namespace

void CompletionForecaster::record(const std::string &route, Duration duration)
{
    m_durations.try_emplace(route, maxSamples).first->second.push_back(duration);
}

std::optional<DurationForecast> CompletionForecaster::forecast(const std::string &route) const
{
    const auto found = m_durations.find(route);
    if (found == m_durations.end() || found->second.size() < minSamples)
        return std::nullopt;
    std::vector<Duration> durations(found->second.begin(), found->second.end());
    const std::size_t longer = durations.size() / unlikelyDivisor;
    const auto likely = durations.end() - static_cast<std::ptrdiff_t>(longer + 1);
    std::nth_element(durations.begin(), likely, durations.end());
    return DurationForecast{*likely, *std::max_element(likely, durations.end())};
}

void CompletionForecaster::retainRoutes(const ServingConfig &config)
{
    std::set<std::string> names;
    for (const ServingRoute &route : config.m_routes)
        names.insert(route.m_name);
    std::erase_if(m_durations,
                  [&names](const auto &entry) { return !names.contains(entry.first); });
}

std::optional<DurationForecast> assumedDuration(const ServingRoute &route)
{
    if (route.m_kind == RouteRepeatSafety::Stream)
        return std::nullopt;
    const Duration assumed = assumedTargets * route.m_latencyTarget;
    return DurationForecast{assumed, assumed};
}

} // namespace gypsumdale
