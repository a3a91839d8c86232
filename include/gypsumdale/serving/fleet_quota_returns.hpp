#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/quota_allocation.hpp>

#include <algorithm> // clamp, max
#include <array> // array
#include <cstddef> // size_t

namespace gypsumdale {

/// Times at which this VM told callers of one account to return. Callers that are refused together
/// are told times that are spread over the rate that is free for them, the most urgent first. When
/// each was told the time at which the bucket has room for one request, they returned together and
/// nine in ten were refused again.
class ReturnSchedule
{
public:
    /// Returns the delay that a refused caller is told, and counts its request as demand of that
    /// time. The refill time is the delay without other callers; the rate is what this VM keeps for
    /// returns, in quota units per second. Complexity: linear in the classes.
    Duration reserve(std::size_t quotaClass, double cost, Duration refillTime, double rate,
                     TimePoint now)
    {
        const TimePoint earliest = now + refillTime;
        const Duration needed = std::min(fromSeconds(cost / std::max(rate, 1.0)), longest);
        const TimePoint at = std::clamp(m_next[quotaClass], earliest, earliest + longest);
        for (std::size_t place = quotaClass; place < quotaClasses; ++place)
            m_next[place] = std::clamp(m_next[place], earliest, earliest + longest) + needed;
        return at - now;
    }

private:
    /// Longer than any caller waits.
    static constexpr Duration longest = std::chrono::minutes(1);

    std::array<TimePoint, quotaClasses> m_next{};
};

} // namespace gypsumdale
