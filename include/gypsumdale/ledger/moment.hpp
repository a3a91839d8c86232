#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// A point in time on both clocks: the monotonic one measures how long something took, the time of
/// day goes into records that other processes read.
struct Moment
{
    TimePoint m_now;
    WallMillis m_wall = 0;
};

/// Reads both clocks. Constant.
inline Moment momentOf(const Clock &clock)
{
    return {clock.now(), clock.wallNow()};
}

} // namespace gypsumdale
