#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <chrono> // milliseconds, seconds

namespace gypsumdale {

struct CircuitBreakerSettings
{
    /// Pause after the first failure; doubles with each further one.
    Duration m_minPause = std::chrono::milliseconds(150);
    /// Longest pause, and so the longest time until a recovered dependency is noticed.
    Duration m_maxPause = std::chrono::seconds(1);
};

/// Circuit breaker for calls to a dependency: after a failure it permits one call at the end of
/// each pause, and the pause grows while calls fail.
///
/// It bounds the load in a partial outage, in which many VMs poll a dependency that rejects only
/// them, each VM from several loops. The loops of a VM then make one call per pause together.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(CircuitBreakerSettings settings = {})
        : m_settings(settings)
    {}

    /// Returns whether a call may be made now. The caller must make the call if so. Complexity:
    /// constant.
    bool tryCall(TimePoint now)
    {
        if (!m_isOpen)
            return true;
        if (now < m_nextCallAt)
            return false;
        m_nextCallAt = now + m_pause;
        return true;
    }

    /// Records that a call was answered. Complexity: constant.
    void onAnswered() { m_isOpen = false; }

    /// Records that a call failed. Concurrent calls that fail together lengthen the pause once.
    /// Complexity: constant.
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
