#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <chrono> // milliseconds, seconds

namespace gypsumdale {

struct CircuitBreakerSettings
{
    /// Pause after the first failure; each further one doubles it.
    Duration m_minPause = std::chrono::milliseconds(150);
    /// A dependency that is back is noticed within this.
    Duration m_maxPause = std::chrono::seconds(1);
};

/// Keeps callers from a dependency that fails: one call is let through at the end of each pause,
/// and pauses grow while calls fail.
///
/// It answers the load of a partial outage, in which many VMs poll a dependency that turns just
/// them away, each from several loops: together they make one call a pause, not each its own.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(CircuitBreakerSettings settings = {})
        : m_settings(settings)
    {}

    /// Tells whether a call may be made now. One that may counts as made. Constant.
    bool tryCall(TimePoint now)
    {
        if (!m_isOpen)
            return true;
        if (now < m_nextCallAt)
            return false;
        m_nextCallAt = now + m_pause;
        return true;
    }

    /// Takes in that a call was answered. Constant.
    void onAnswered() { m_isOpen = false; }

    /// Takes in that a call failed. Calls that were under way together fail together, and lengthen
    /// the pause once. Constant.
    void onFailed(TimePoint sentAt, TimePoint now)
    {
        if (m_isOpen && sentAt < m_failedAt)
            return;
        m_pause = m_isOpen ? std::min(2 * m_pause, m_settings.m_maxPause) : m_settings.m_minPause;
        m_isOpen = true;
        m_failedAt = now;
        m_nextCallAt = now + m_pause;
    }

    bool isOpen() const { return m_isOpen; }

private:
    CircuitBreakerSettings m_settings;
    bool m_isOpen = false;
    Duration m_pause{};
    TimePoint m_failedAt{};
    TimePoint m_nextCallAt{};
};

} // namespace gypsumdale
