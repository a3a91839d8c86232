#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string

#include <boost/circular_buffer.hpp>

namespace gypsumdale {

/// How long a request took that was answered whole, from its arrival.
struct CompletionTimes
{
    /// Tokens that its caller announced for the answer, or 0 if it announced none.
    std::int64_t m_outputTokens = 0;
    /// Until its first event; the whole time of a request that isn't a stream.
    Duration m_firstEvent{};
    Duration m_total{};
};

/// Forecasts how long requests take, from the last ones of the same route that were answered whole.
/// Of a request that announces its output tokens, the time to the first event and the time per
/// token are forecast, as long and short requests share a route.
class CompletionForecaster
{
public:
    /// Complexity: logarithmic in the routes.
    void record(const std::string &route, const CompletionTimes &times);

    /// Returns the time that hardly any such request exceeds, or nothing if too few are known.
    /// Complexity: linear in the recorded requests of one route, of which there is a fixed number.
    std::optional<Duration> forecast(const std::string &route, std::int64_t outputTokens) const;

    /// Forgets the routes that a configuration doesn't have. Complexity: linear in the routes.
    void retainRoutes(const ServingConfig &config);

private:
    using Samples = boost::circular_buffer<CompletionTimes>;

    std::map<std::string, Samples> m_samples;
};

/// Returns how long a request of a route takes at most if nothing is known of such requests, or
/// nothing for a stream, whose length isn't known either.
std::optional<Duration> assumedDuration(const ServingRoute &route);

} // namespace gypsumdale
