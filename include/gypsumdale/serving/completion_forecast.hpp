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
    Duration m_percentile90{};
    /// No recent one took longer.
    Duration m_longest{};

    /// Returns the forecast of what is left after a time. Complexity: constant.
    DurationForecast without(Duration served) const;
};

/// Forecasts how long requests take, from the last ones of the same route that were answered whole
/// and with success. What callers announce is no help: the most tokens that an answer may have, not
/// those that it has.
class CompletionForecaster
{
public:
    /// Records a request that ended now and how long it took from its arrival. Complexity:
    /// logarithmic in the routes.
    void record(const std::string &route, Duration duration, TimePoint now);

    /// Returns nothing if too few requests of the route are known, or only those of a shorter time
    /// than its timeout: the long ones have not ended by then. Complexity: linear in the recorded
    /// requests of one route, of which there is a fixed number.
    std::optional<DurationForecast> forecast(const ServingRoute &route, TimePoint now) const;

    /// Forgets the routes that a configuration doesn't have. Complexity: n log n in the routes.
    void retainRoutes(const ServingConfig &config);

private:
    struct Completions
    {
        /// Arrival of the first recorded request.
        TimePoint m_since{};
        boost::circular_buffer<Duration> m_durations;
    };

    std::map<std::string, Completions> m_routes;
};

/// Returns how long a request of a route takes if nothing is known of such requests, or nothing for
/// a stream, whose length isn't known either.
std::optional<DurationForecast> assumedDuration(const ServingRoute &route);

} // namespace gypsumdale
