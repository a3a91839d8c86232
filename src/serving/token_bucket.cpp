#include <gypsumdale/serving/token_bucket.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

/// Keeps a permit whose time has come from being missed by a rounding.
constexpr double rounding = 1e-9;

} // namespace

void TokenBucket::setRate(double perSecond, double burst, TimePoint now)
{
    m_permits = std::min(permitsAt(now), burst);
    m_updatedAt = now;
    m_perSecond = perSecond;
    m_burst = burst;
}

void TokenBucket::take(TimePoint now)
{
    m_permits = permitsAt(now) - 1;
    m_updatedAt = now;
}

Duration TokenBucket::timeUntilPermit(TimePoint now, Duration longest) const
{
    const double missing = 1 - permitsAt(now);
    if (missing <= 0)
        return Duration::zero();
    if (missing >= toSeconds(longest) * m_perSecond)
        return longest;
    // Rounded up, so that the permit is there at that time.
    return fromSeconds(missing / m_perSecond) + Duration(1);
}

double TokenBucket::permitsAt(TimePoint now) const
{
    const double seconds = std::max(0.0, toSeconds(now - m_updatedAt));
    return std::min(std::max(m_burst, m_permits), m_permits + seconds * m_perSecond + rounding);
}

} // namespace gypsumdale
