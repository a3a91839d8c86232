#pragma once

#include <gypsumdale/core/clock.hpp>

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

} // namespace gypsumdale
