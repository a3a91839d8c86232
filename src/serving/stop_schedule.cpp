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

/// Returns the time that has to be left for a request with a forecast.
Duration timeNeeded(const DurationForecast &forecast, bool isLate)
{
    if (!isLate)
        return forecast.m_percentile90;
    return fromSeconds(lateFactor * toSeconds(forecast.m_longest));
}

} // namespace

StopSchedule scheduleStop(TimePoint signalAt, Duration grace)
{
    const Duration usable = grace - graceMargin;
    return {signalAt, signalAt + std::min(acceptAfterSignal, usable / acceptGraceDivisor),
            signalAt + usable};
}

BeginDecision decideBegin(const StopSchedule &stop, const ExpectedEnd &end, TimePoint now)
{
    const Duration left = stop.m_cancelAt - now;
    const bool isLate = now >= stop.m_acceptUntil;
    const Duration untilDeadline = end.m_deadline - now;
    if (untilDeadline <= left || (isLate && end.m_cutLoss == CutLoss::Answer))
        return {untilDeadline <= left, BeginBasis::Deadline, untilDeadline};
    if (!end.m_forecast)
        return {!isLate, BeginBasis::Unknown, Duration::zero()};
    const Duration needed = timeNeeded(*end.m_forecast, isLate);
    return {needed <= left, BeginBasis::Forecast, needed};
}

} // namespace gypsumdale
