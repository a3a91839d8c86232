#pragma once

#include <gypsumdale/core/clock.hpp>

#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Wall clock without the jumps of the system clock, for usage windows.
///
/// The system clock of a single VM can jump by seconds and back, which would count requests in the
/// wrong windows. Therefore the wall time is read once and then follows the steady clock. It is
/// corrected to the median of the peers' clocks: at once if the VM's own system clock agrees by
/// then, otherwise only if the peers' medians persist, and by the smallest of them. A peer's
/// reading is as old as its message, which is delayed for seconds where VMs are overloaded; without
/// this rule all clocks of such a fleet moved backwards together by up to ten seconds, and four
/// usage windows were wrong by a third.
class SteadyWallClock
{
public:
    /// Returns the wall time for a reading of both clocks. Complexity: constant.
    WallMillis read(TimePoint steady, WallMillis wall);

    /// Corrects this clock by the offsets of the peers' wall times to it, in milliseconds, as
    /// received since the last exchange. Does nothing with fewer than two peers. Returns the
    /// correction; 0 if there was none. Complexity: linear in the offsets.
    WallMillis adjustToPeers(std::vector<WallMillis> offsets);

private:
    bool agreesWithSystemClock(WallMillis correction) const;
    void recordMedian(WallMillis median);

    std::optional<WallMillis> m_offset;
    /// The offset according to the last reading of the system clock.
    WallMillis m_systemOffset = 0;
    /// Smallest of the consecutive medians that were beyond the tolerance on the same side.
    WallMillis m_smallestMedian = 0;
    int m_medianCount = 0;
};

} // namespace gypsumdale
