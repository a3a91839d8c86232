#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

namespace {

std::int64_t steadyNanos()
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

WallMillis systemMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

TimePoint Clock::now() const
{
    const std::int64_t nanos = m_paused.load() ? m_pausedAt.load() : steadyNanos();
    return TimePoint(Duration(nanos));
}

WallMillis Clock::wallNow() const
{
    return m_paused.load() ? m_pausedWall.load() : systemMillis();
}

void Clock::pause()
{
    if (m_paused.load())
        return;
    m_pausedAt = steadyNanos();
    m_pausedWall = systemMillis();
    m_paused = true;
}

void Clock::advance(Duration step)
{
    if (!m_paused.load())
        return;
    m_pausedAt += step.count();
    m_pausedWall += std::chrono::duration_cast<std::chrono::milliseconds>(step).count();
}

} // namespace gypsumdale
