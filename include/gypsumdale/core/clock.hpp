#pragma once

#include <atomic> // atomic
#include <chrono> // milliseconds, nanoseconds, time_point
#include <cstdint> // int64_t

namespace gypsumdale {

using Duration = std::chrono::nanoseconds;

/// Clock type of TimePoint. It has no now() function: the time comes from a Clock object, which
/// tests can pause and advance.
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

/// Source of monotonic and wall-clock time. The clock runs from construction on; tests can pause it
/// and advance it by hand. Reading is safe from any thread.
class Clock
{
public:
    /// Returns the monotonic time; while paused, the time of the pause plus all advances.
    /// Complexity: constant.
    TimePoint now() const;

    /// Returns the wall-clock time in UTC milliseconds; while paused, it advances together with
    /// now(). Complexity: constant.
    WallMillis wallNow() const;

    /// Pauses the clock at the current time. Has no effect on a paused clock. Complexity: constant.
    void pause();

    /// Advances a paused clock. Has no effect on a running clock. Complexity: constant.
    void advance(Duration step);

    bool isPaused() const { return m_paused.load(); }

private:
    std::atomic<bool> m_paused = false;
    std::atomic<std::int64_t> m_pausedAt = 0;
    std::atomic<std::int64_t> m_pausedWall = 0;
};

/// Returns a duration as fractional milliseconds, for logs and metrics.
inline double toMillis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns a duration as fractional seconds, for rates.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration, rounded to the nearest nanosecond. Truncating 2.05 s would give
/// one nanosecond too few.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns a duration in whole milliseconds, truncated, as messages between processes carry it.
inline std::int64_t toWholeMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace gypsumdale
