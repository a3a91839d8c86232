#include <gypsumdale/serving/return_pacing.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

Duration ReturnPacing::next(const ServiceId &service, Duration first,
                            std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond)
        return std::min(first, maxDelay);
    if (*perSecond <= 0)
        return Duration::zero();
    const bool isServed = *perSecond * toSeconds(maxDelay) >= 1;
    const Duration distance = isServed ? fromSeconds(1 / *perSecond) : maxDelay;
    const auto [last, isFirst] = m_lastReturns.try_emplace(service, now);
    const TimePoint afterLast = isFirst ? now : last->second + distance;
    const TimePoint at = std::min(std::max(now + first, afterLast), now + maxDelay);
    last->second = at;
    return at - now;
}

} // namespace gypsumdale
