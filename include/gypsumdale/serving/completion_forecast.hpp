#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <map> // map
#include <optional> // optional
#include <string> // string

#include <boost/circular_buffer.hpp>

namespace gypsumdale {

/// How long a request takes that is begun now.
struct DurationForecast
{
    /// One in ten takes longer.
    Duration m_likely{};
    /// No recent one took longer.
    Duration m_longest{};
};

/// Forecasts how long requests take, from the last ones of the same route that were answered whole.
/// What callers announce is no help: the most tokens that an answer may have, not those that it
/// has.
class CompletionForecaster
{
public:
    /// Records how long a request took from its arrival. Complexity: logarithmic in the routes.
    void record(const std::string &route, Duration duration);

    /// Returns nothing if too few requests of the route are known. Complexity: linear in the
    /// recorded requests of one route, of which there is a fixed number.
    std::optional<DurationForecast> forecast(const std::string &route) const;

    /// Forgets the routes that a configuration doesn't have. Complexity: n log n in the routes.
    void retainRoutes(const ServingConfig &config);

private:
    std::map<std::string, boost::circular_buffer<Duration>> m_durations;
};

/// Returns how long a request of a route takes if nothing is known of such requests, or nothing for
/// a stream, whose length isn't known either.
std::optional<DurationForecast> assumedDuration(const ServingRoute &route);

} // namespace gypsumdale
