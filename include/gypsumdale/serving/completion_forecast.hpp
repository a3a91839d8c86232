#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/request_lifetimes.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

#include <boost/circular_buffer.hpp>

namespace gypsumdale {

/// How long a request takes that is begun now.
struct DurationForecast
{
    /// One in ten takes longer.
    Duration m_percentile90{};
    /// No recent one took longer, or has been under way for longer.
    Duration m_longest{};

    /// Returns the forecast of what is left after a time. Complexity: constant.
    DurationForecast without(Duration served) const;
};

/// Forecasts how long requests take, from the last ones of the same route that were answered whole
/// and with success, and from those still under way: the last that have ended are the short ones of
/// those that have begun, whenever more requests arrive than before. What callers announce is no
/// help: the most tokens that an answer may have, not those that it has.
class CompletionForecaster
{
public:
    /// Records a request that ended now and how long it took from its arrival. Complexity:
    /// logarithmic in the routes.
    void record(const std::string &route, Duration duration, TimePoint now);

    /// Returns nothing if too few requests of the route are known, or only those of a shorter time
    /// than its timeout: the long ones have not ended by then. `underWay` are the arrivals of the
    /// route's requests that have not ended. Complexity: linear in those, times a fixed number of
    /// recorded requests.
    std::optional<DurationForecast> forecast(const ServingRoute &route, TimePoint now,
                                             const std::vector<TimePoint> &underWay = {}) const;

    /// Forgets the routes that a configuration doesn't have. Complexity: n log n in the routes.
    void retainRoutes(const ServingConfig &config);

private:
    struct Completion
    {
        TimePoint m_arrivedAt{};
        TimePoint m_endedAt{};
    };

    struct Completions
    {
        /// Arrival of the first recorded request.
        TimePoint m_since{};
        boost::circular_buffer<Completion> m_recent;
    };

    static RequestLifetimes lifetimesOf(const Completions &completions, TimePoint now,
                                        const std::vector<TimePoint> &underWay);

    std::map<std::string, Completions> m_routes;
};

/// Returns how long a request of a route takes if nothing is known of such requests, or nothing for
/// a stream, whose length isn't known either.
std::optional<DurationForecast> assumedDuration(const ServingRoute &route);

} // namespace gypsumdale
