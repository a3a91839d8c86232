#pragma once

#include <gypsumdale/core/clock.hpp>

#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// The time of day without its jumps, for counting by windows.
///
/// The time of day of single VMs jumps by seconds and back, which would count requests into wrong
/// windows. The wall time is therefore read once and then follows the steady clock; a lasting
/// difference is corrected only when the median of the peers' clocks agrees with the new reading.
class SteadyWallClock
{
public:
    /// Returns the wall time for a reading of both clocks. Constant.
    WallMillis read(TimePoint steady, WallMillis wall);

    /// Takes in the offsets of the peers' wall time to this clock's, in milliseconds. With at least
    /// two peers, and when their median is off by more than a tick, this clock follows it.
    void followPeers(std::vector<WallMillis> offsets);

private:
    std::optional<WallMillis> m_offset;
};

} // namespace gypsumdale
