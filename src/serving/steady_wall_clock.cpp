#include <gypsumdale/serving/steady_wall_clock.hpp>

#include <algorithm> // nth_element
#include <cstddef> // size_t
#include <cstdlib> // abs

namespace gypsumdale {

namespace {

/// Clocks of sound VMs differ by less, even seen through a slow link. A jump is of seconds.
constexpr WallMillis tolerated = 400;
constexpr std::size_t fewestPeers = 2;

} // namespace

WallMillis SteadyWallClock::read(TimePoint steady, WallMillis wall)
{
    const auto steadyMillis =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch())
                    .count();
    if (!m_offset)
        m_offset = wall - steadyMillis;
    return steadyMillis + *m_offset;
}

void SteadyWallClock::followPeers(std::vector<WallMillis> offsets)
{
    if (offsets.size() < fewestPeers || !m_offset)
        return;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    if (std::abs(*middle) > tolerated)
        *m_offset += *middle;
}

} // namespace gypsumdale
