#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// A point in time on both clocks. The monotonic clock measures durations; the wall clock goes into
/// records that other processes read.
struct Moment
{
    TimePoint m_now;
    WallMillis m_wall = 0;
};

/// Returns the time of both clocks. Complexity: constant.
inline Moment momentOf(const Clock &clock)
{
    return {clock.now(), clock.wallNow()};
}

} // namespace gypsumdale
