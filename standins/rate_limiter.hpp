#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min

namespace gypsumdale::standins {

/// A token bucket whose capacity is the number of calls of one second.
class RateLimiter
{
public:
    explicit RateLimiter(double perSecond)
        : m_perSecond(perSecond)
        , m_available(perSecond)
    {}

    /// Takes one call from the bucket; returns false if the bucket is empty. Complexity: constant.
    bool take(TimePoint now)
    {
        const std::chrono::duration<double> passed = now - m_filledAt;
        m_filledAt = now;
        m_available = std::min(m_perSecond, m_available + passed.count() * m_perSecond);
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_available;
    TimePoint m_filledAt;
};

} // namespace gypsumdale::standins
