#pragma once

#include <gypsumdale/core/clock.hpp>

#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// The time of day without its jumps, for counting by windows.
///
/// The time of day of single VMs jumps by seconds and back, which would count requests into wrong
/// windows. The wall time is therefore read once and then follows the steady clock. It is put right
/// after the median of the peers' clocks: at once if the VM's own time of day says the same by
/// then, otherwise only if the peers keep to it, and by the least that they said. A peer's reading
/// is as old as its message, which waits for seconds where VMs are overloaded: all clocks of such a
/// fleet walked backwards together by up to ten seconds, and four usage windows were off by a
/// third.
class SteadyWallClock
{
public:
    /// Returns the wall time for a reading of both clocks. Constant.
    WallMillis read(TimePoint steady, WallMillis wall);

    /// Takes in the offsets of the peers' wall time to this clock's, in milliseconds, as heard
    /// since the last exchange time. Less than two peers say nothing. Returns by how much this
    /// clock was put right; 0 if it wasn't. Linear in the offsets.
    WallMillis adjustToPeers(std::vector<WallMillis> offsets);

private:
    bool isOwnTimeOfDay(WallMillis correction) const;
    void noteMedian(WallMillis median);

    std::optional<WallMillis> m_offset;
    /// What the offset would be by the last reading.
    WallMillis m_offsetNow = 0;
    /// The least of the medians that stood beyond what is tolerated, on one side, without a break.
    WallMillis m_least = 0;
    int m_medians = 0;
};

} // namespace gypsumdale
