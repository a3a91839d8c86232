#include <gypsumdale/serving/steady_wall_clock.hpp>

#include <algorithm> // nth_element
#include <cstddef> // size_t
#include <cstdlib> // abs

namespace gypsumdale {

namespace {

/// Synchronised clocks differ by less, even when observed over a slow link. A jump is several
/// seconds.
constexpr WallMillis tolerance = 400;
constexpr std::size_t minPeers = 2;
/// Maximum difference between the VM's own system clock and the peers' median at which they agree:
/// the difference of synchronised clocks, without the delay of messages.
constexpr WallMillis agreementTolerance = 200;
/// Number of consecutive medians that suffice for a correction where the own system clock
/// disagrees: three seconds of exchanges, in which some messages of an overloaded fleet arrive in
/// time.
constexpr int requiredMedians = 12;

} // namespace

WallMillis SteadyWallClock::read(TimePoint steady, WallMillis wall)
{
    const auto steadyMillis =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch())
                    .count();
    m_systemOffset = wall - steadyMillis;
    if (!m_offset)
        m_offset = m_systemOffset;
    return steadyMillis + *m_offset;
}

bool SteadyWallClock::agreesWithSystemClock(WallMillis correction) const
{
    return std::abs(m_systemOffset - *m_offset - correction) <= agreementTolerance;
}

void SteadyWallClock::recordMedian(WallMillis median)
{
    const bool isOtherSide = (median < 0) != (m_smallestMedian < 0);
    if (m_medianCount == 0 || isOtherSide) {
        m_medianCount = 0;
        m_smallestMedian = median;
    }
    ++m_medianCount;
    if (std::abs(median) < std::abs(m_smallestMedian))
        m_smallestMedian = median;
}

WallMillis SteadyWallClock::adjustToPeers(std::vector<WallMillis> offsets)
{
    if (offsets.size() < minPeers || !m_offset)
        return 0;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    if (std::abs(*middle) <= tolerance) {
        m_medianCount = 0;
        return 0;
    }
    recordMedian(*middle);
    const bool isConfirmed = agreesWithSystemClock(*middle);
    if (!isConfirmed && m_medianCount < requiredMedians)
        return 0;
    const WallMillis correction = isConfirmed ? *middle : m_smallestMedian;
    *m_offset += correction;
    m_medianCount = 0;
    return correction;
}

} // namespace gypsumdale
