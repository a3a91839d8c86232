#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional

namespace gypsumdale {

/// Inputs of the forecast for one request, in addition to the loads of the engines.
struct ForecastRequest
{
    PlacementRequest m_placement;
    /// 0 is the most urgent.
    int m_priority = 0;
    /// Prompt tokens that one engine reads per second; 0 while unknown. An engine whose own speed
    /// is known counts with that.
    double m_speed = 0;
};

/// Predicted time to a request's first event, and the values it is based on.
struct FirstEventForecast
{
    /// Time to the first event at the engine that can begin soonest. It is a lower bound: more
    /// urgent requests that arrive later, and long prompts, make the actual time longer.
    Duration m_wait{};
    /// Prompt tokens that this engine reads first.
    std::int64_t m_tokensAhead = 0;
    /// Age of the oldest peer report that was used.
    Duration m_reportAge{};
};

/// Inputs of the retry delay, in addition to the forecast.
struct CapacityTimeInputs
{
    Duration m_latencyTarget{};
    /// Boot time of an ordered engine; empty where none can be ordered.
    std::optional<Duration> m_bootTime;
};

/// Predicts when an engine would begin to answer, so that a request that would miss its deadline is
/// rejected at once.
///
/// Engines read more urgent prompts first, and cache parts that requests share. How many of the
/// tokens that wait at an engine are read before a request of a given priority is known for this
/// VM's own requests only; their mix is used as an estimate for the peers' requests.
class FirstEventForecaster
{
public:
    /// Records a placed request. Complexity: amortised constant.
    void recordPlacement(const ServiceId &service, int priority, std::int64_t promptTokens,
                         std::int64_t ownTokens, TimePoint now);

    /// Returns the forecast, or nothing where too little is known: no speed was observed, reports
    /// are old, few requests were placed, or no engine is available. Complexity: linear in the
    /// upstreams.
    std::optional<FirstEventForecast> forecast(const ForecastRequest &request,
                                               const UpstreamPool &pool, TimePoint now);

    /// Returns whether the first event is certain to come too late.
    static bool isTooLate(const FirstEventForecast &forecast, Duration timeLeft);

    /// Returns the time until a request would begin within its latency target again: by then the
    /// waiting prompts have been read or ordered engines have booted. `draw` is a number from 0 to
    /// 1 that spreads the callers that retry. Complexity: constant.
    static Duration timeUntilCapacity(const FirstEventForecast &forecast,
                                      const CapacityTimeInputs &terms, double draw);

private:
    /// Span of the request mix: long enough for a few dozen requests of one VM, short enough to
    /// follow a burst.
    static constexpr Duration mixSpan = std::chrono::seconds(8);

    /// Placed requests of one service.
    struct RequestMix
    {
        SlidingSum m_requests{mixSpan};
        SlidingSum m_promptTokens{mixSpan};
        /// Tokens by priority.
        std::map<int, SlidingSum> m_ownTokens;
    };

    std::optional<double> fractionAhead(const ForecastRequest &request, TimePoint now);

    std::map<ServiceId, RequestMix> m_requestMixes;
};

} // namespace gypsumdale
