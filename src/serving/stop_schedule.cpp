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

} // namespace

StopSchedule scheduleStop(TimePoint signalAt, Duration grace)
{
    const Duration usable = grace - graceMargin;
    return {signalAt, signalAt + std::min(acceptAfterSignal, usable / acceptGraceDivisor),
            signalAt + usable};
}

} // namespace gypsumdale
