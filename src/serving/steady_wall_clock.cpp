#include <gypsumdale/serving/steady_wall_clock.hpp>

#include <algorithm> // nth_element
#include <cstddef> // size_t
#include <cstdlib> // abs

namespace gypsumdale {

namespace {

/// Synchronised clocks differ by less, even when observed over a slow link. A jump is several
/// seconds.
constexpr WallMillis tolerated = 400;
constexpr std::size_t fewestPeers = 2;
/// Maximum difference between the VM's own system clock and the peers' median at which they agree:
/// the difference of synchronised clocks, without the delay of messages.
constexpr WallMillis agreeing = 200;
/// Number of consecutive medians that suffice for a correction where the own system clock
/// disagrees: three seconds of exchanges, in which some messages of an overloaded fleet arrive in
/// time.
constexpr int mediansToFollow = 12;

} // namespace

WallMillis SteadyWallClock::read(TimePoint steady, WallMillis wall)
{
    const auto steadyMillis =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch())
                    .count();
    m_offsetNow = wall - steadyMillis;
    if (!m_offset)
        m_offset = m_offsetNow;
    return steadyMillis + *m_offset;
}

bool SteadyWallClock::isOwnTimeOfDay(WallMillis correction) const
{
    return std::abs(m_offsetNow - *m_offset - correction) <= agreeing;
}

void SteadyWallClock::noteMedian(WallMillis median)
{
    const bool isOtherSide = (median < 0) != (m_least < 0);
    if (m_medians == 0 || isOtherSide) {
        m_medians = 0;
        m_least = median;
    }
    ++m_medians;
    if (std::abs(median) < std::abs(m_least))
        m_least = median;
}

WallMillis SteadyWallClock::adjustToPeers(std::vector<WallMillis> offsets)
{
    if (offsets.size() < fewestPeers || !m_offset)
        return 0;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    if (std::abs(*middle) <= tolerated) {
        m_medians = 0;
        return 0;
    }
    noteMedian(*middle);
    const bool isSure = isOwnTimeOfDay(*middle);
    if (!isSure && m_medians < mediansToFollow)
        return 0;
    const WallMillis correction = isSure ? *middle : m_least;
    *m_offset += correction;
    m_medians = 0;
    return correction;
}

} // namespace gypsumdale
