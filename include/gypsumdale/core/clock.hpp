#pragma once

#include <atomic> // atomic
#include <chrono> // milliseconds, nanoseconds, time_point
#include <cstdint> // int64_t

namespace gypsumdale {

using Duration = std::chrono::nanoseconds;

/// The clock type behind TimePoint. It has no now() of its own: the time comes from a Clock object,
/// which tests pause and advance.
struct RuntimeClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = RuntimeClock::time_point;

/// Milliseconds since 1970 in UTC, for records that other processes read.
using WallMillis = std::int64_t;

/// Tells the time. It runs from the start; a test pauses it and moves it by hand. Safe to read from
/// any thread.
class Clock
{
public:
    /// Returns the monotonic time; while paused, the time at the pause plus all advances. Constant.
    TimePoint now() const;

    /// Returns the time of day in UTC milliseconds; while paused it moves with now(). Constant.
    WallMillis wallNow() const;

    /// Stops the clock where it is. Constant.
    void pause();

    /// Moves a paused clock forward; leaves a running one alone. Constant.
    void advance(Duration step);

    bool isPaused() const { return m_paused.load(); }

private:
    std::atomic<bool> m_paused = false;
    std::atomic<std::int64_t> m_pausedAt = 0;
    std::atomic<std::int64_t> m_pausedWall = 0;
};

/// Writes a duration as fractional milliseconds, for logs and metrics.
inline double toMillis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns a duration as fractional seconds, for rates.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the duration of so many seconds, to the nearest nanosecond: 2.05 s cut off would be one
/// short.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns the whole milliseconds of a duration, as messages between processes carry it.
inline std::int64_t wholeMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace gypsumdale
