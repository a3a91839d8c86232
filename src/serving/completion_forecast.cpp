#include <gypsumdale/serving/completion_forecast.hpp>

#include <algorithm> // max
#include <cstddef> // size_t
#include <set> // set

namespace gypsumdale {

namespace {

/// Recorded requests of a route. One in this many takes longer than the longest of them.
constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 4;
/// A request of unknown duration is assumed to take this multiple of its latency target.
constexpr int assumedTargets = 2;

} // namespace

void CompletionForecaster::record(const std::string &route, const CompletionTimes &times)
{
    m_samples.try_emplace(route, maxSamples).first->second.push_back(times);
}

std::optional<Duration> CompletionForecaster::forecast(const std::string &route,
                                                       std::int64_t outputTokens) const
{
    const auto found = m_samples.find(route);
    if (found == m_samples.end() || found->second.size() < minSamples)
        return std::nullopt;
    Duration total{};
    Duration firstEvent{};
    double secondsPerToken = 0;
    for (const CompletionTimes &times : found->second) {
        total = std::max(total, times.m_total);
        if (times.m_outputTokens <= 0)
            continue;
        firstEvent = std::max(firstEvent, times.m_firstEvent);
        const double seconds = toSeconds(times.m_total - times.m_firstEvent);
        secondsPerToken =
                std::max(secondsPerToken, seconds / static_cast<double>(times.m_outputTokens));
    }
    if (outputTokens <= 0 || secondsPerToken <= 0)
        return total;
    return firstEvent + fromSeconds(secondsPerToken * static_cast<double>(outputTokens));
}

void CompletionForecaster::retainRoutes(const ServingConfig &config)
{
    std::set<std::string> names;
    for (const ServingRoute &route : config.m_routes)
        names.insert(route.m_name);
    std::erase_if(m_samples, [&names](const auto &entry) { return !names.contains(entry.first); });
}

std::optional<Duration> assumedDuration(const ServingRoute &route)
{
    if (route.m_kind == RouteRepeatSafety::Stream)
        return std::nullopt;
    return assumedTargets * route.m_latencyTarget;
}

} // namespace gypsumdale
