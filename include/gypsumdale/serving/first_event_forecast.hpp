#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional

namespace gypsumdale {

/// What the forecast for one request depends on, beside the loads of the engines.
struct ForecastRequest
{
    PlacementRequest m_placement;
    /// 0 is the most urgent.
    int m_priority = 0;
    /// Prompt tokens that one engine reads in a second; 0 while that isn't known.
    double m_speed = 0;
};

/// When a request's first event would come, and what that was taken from.
struct FirstEventForecast
{
    /// Time to the first event at the engine that could begin soonest. No engine was seen to be
    /// sooner: urgent requests that come later, and long prompts, make it longer.
    Duration m_wait{};
    /// Prompt tokens that this engine reads first.
    std::int64_t m_tokensAhead = 0;
    /// Age of the oldest report of a peer that counts.
    Duration m_reportAge{};
};

/// What the time to come back depends on, beside the forecast.
struct CapacityTimeInputs
{
    Duration m_latencyTarget{};
    /// How long an engine that is ordered takes to boot; nothing where none can be ordered.
    std::optional<Duration> m_bootTime;
};

/// Foretells when an engine would begin to answer, so that a request that would wait in vain can be
/// rejected at once.
///
/// Engines read more urgent prompts first, and keep parts that requests share. How much of what
/// waits at an engine is read before a request of a priority is known of this VM's own requests
/// only; their mix stands for that of the peers.
class FirstEventForecaster
{
public:
    /// Notes a request that was placed. Constant, amortised.
    void recordPlacement(const ServiceId &service, int priority, std::int64_t promptTokens,
                         std::int64_t ownTokens, TimePoint now);

    /// Returns the forecast, or nothing where too little is known: no speed was seen, reports are
    /// old, few requests were placed, or no engine is in reach. Linear in the upstreams.
    std::optional<FirstEventForecast> forecast(const ForecastRequest &request,
                                               const UpstreamPool &pool, TimePoint now);

    /// Tells whether the first event is known to come too late.
    static bool isTooLate(const FirstEventForecast &forecast, Duration timeLeft);

    /// Returns how long it takes until a request would begin within its latency target again: what
    /// waits has been read by then, or engines that were ordered have booted. `draw` is a number
    /// from 0 to 1 that spreads those who come back. Constant.
    static Duration timeUntilCapacity(const FirstEventForecast &forecast,
                                      const CapacityTimeInputs &terms, double draw);

private:
    /// The mix is taken from this: long enough for a few dozen requests of one VM, short enough to
    /// follow a rush.
    static constexpr Duration mixSpan = std::chrono::seconds(8);

    /// Placed requests of one service.
    struct Mix
    {
        SlidingSum m_requests{mixSpan};
        SlidingSum m_promptTokens{mixSpan};
        /// By priority.
        std::map<int, SlidingSum> m_ownTokens;
    };

    std::optional<double> partAhead(const ForecastRequest &request, TimePoint now);

    std::map<ServiceId, Mix> m_mixes;
};

} // namespace gypsumdale
