#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min

namespace gypsumdale {

/// The time this process spent listening: the sum of the gaps between ticks, each counted up to a
/// longest one. Silence is measured in it, so that a pause of the observer, which shows as one long
/// gap, ages nobody.
class ActiveTimeClock
{
public:
    ActiveTimeClock(Duration longestGap, TimePoint now)
        : m_longestGap(longestGap)
        , m_lastTick(now)
    {}

    void tick(TimePoint now)
    {
        m_listened += std::min(now - m_lastTick, m_longestGap);
        m_lastTick = now;
    }

    Duration activeTime() const { return m_listened; }

private:
    Duration m_longestGap;
    TimePoint m_lastTick;
    Duration m_listened{};
};

} // namespace gypsumdale
