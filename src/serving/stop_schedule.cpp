#include <gypsumdale/serving/stop_schedule.hpp>

#include <algorithm> // min

namespace gypsumdale {

namespace {

/// New connections are still accepted for this time after the stop signal: the load balancer checks
/// readiness once per second and sends connections until two checks have failed.
constexpr Duration acceptAfterSignal = std::chrono::milliseconds(2600);
/// Divisor of the grace time without its margin that gives the longest time for accepting
/// connections, so that a short grace time leaves time to answer them.
constexpr int acceptGraceDivisor = 2;
/// Multiple of the longest duration for which there must be time once no connections are accepted.
constexpr double lateFactor = 1.5;

} // namespace

StopSchedule scheduleStop(TimePoint signalAt, Duration grace)
{
    const Duration usable = grace - graceMargin;
    return {signalAt, signalAt + std::min(acceptAfterSignal, usable / acceptGraceDivisor),
            signalAt + usable};
}

bool mayBegin(const StopSchedule &stop, const ExpectedEnd &end, TimePoint now)
{
    if (end.m_deadline <= stop.m_cancelAt)
        return true;
    if (!end.m_forecast)
        return now < stop.m_acceptUntil;
    return now + timeNeeded(stop, *end.m_forecast, now) <= stop.m_cancelAt;
}

Duration timeNeeded(const StopSchedule &stop, const DurationForecast &forecast, TimePoint now)
{
    if (now < stop.m_acceptUntil)
        return forecast.m_percentile90;
    return fromSeconds(lateFactor * toSeconds(forecast.m_longest));
}

} // namespace gypsumdale
