#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// A token bucket: permits are added at a steady rate up to a burst, and each request takes one.
class TokenBucket
{
public:
    TokenBucket() = default;
    /// Begins with a number of permits, which may be a fraction.
    TokenBucket(double permits, TimePoint now)
        : m_permits(permits)
        , m_updatedAt(now)
    {}

    /// Sets the rate in permits per second, and the most permits that are kept. Complexity:
    /// constant.
    void setRate(double perSecond, double burst, TimePoint now);

    /// Returns whether there is a permit. Complexity: constant.
    bool hasPermit(TimePoint now) const { return permitsAt(now) >= 1; }
    /// Takes a permit; without one, the next one is owed. Complexity: constant.
    void take(TimePoint now);
    /// Returns the time until there is a permit, at most `longest`. Complexity: constant.
    Duration timeUntilPermit(TimePoint now, Duration longest) const;

    double perSecond() const { return m_perSecond; }

private:
    double permitsAt(TimePoint now) const;

    double m_permits = 0;
    double m_perSecond = 0;
    double m_burst = 0;
    TimePoint m_updatedAt{};
};

} // namespace gypsumdale
