#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min

namespace gypsumdale {

/// Time during which this process was running and able to receive: the sum of the gaps between
/// ticks, each counted up to a maximum. Silence of peers is measured with this clock, so that a
/// pause of the observer, which appears as one long gap, doesn't count as silence of the others.
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
