#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/completion_forecast.hpp>

#include <optional> // optional

namespace gypsumdale {

/// When a process that was asked to stop does what.
struct StopSchedule
{
    /// When the signal arrived.
    TimePoint m_signalAt{};
    /// New connections are accepted until then.
    TimePoint m_acceptUntil{};
    /// Requests that are still under way are cancelled then.
    TimePoint m_cancelAt{};
};

/// Part of the grace time reserved for answers to cancelled requests, for leaving the registry and
/// for the end of the process.
inline constexpr Duration graceMargin = std::chrono::milliseconds(700);

/// Returns the schedule of a stop. The platform ends the process when the grace time is over,
/// counted from the signal. Complexity: constant.
StopSchedule scheduleStop(TimePoint signalAt, Duration grace);

/// When a request that is begun now ends, as far as that is known.
struct ExpectedEnd
{
    /// The request has ended by then in any case.
    TimePoint m_deadline{};
    /// Nothing if nothing is known of such requests.
    std::optional<DurationForecast> m_forecast;
};

/// Returns whether a process that stops may still begin a request. One that can't end in time is
/// cut, and may not be repeated then; a caller that is refused goes to another VM. While the load
/// balancer still sends requests, those that will probably end in time, or of which nothing is
/// known, are begun. Later only few arrive, and a cut outweighs a refusal that turns out to be
/// needless. Complexity: constant.
bool mayBegin(const StopSchedule &stop, const ExpectedEnd &end, TimePoint now);

/// Returns how long before the cancellation of requests one with a forecast has to be begun.
/// Complexity: constant.
Duration timeNeeded(const StopSchedule &stop, const DurationForecast &forecast, TimePoint now);

} // namespace gypsumdale
