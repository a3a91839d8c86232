#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/log.hpp>

#include <cstdint> // uint64_t
#include <map> // map
#include <string_view> // string_view
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale::detail {

/// Rate limiter for log lines, with a token bucket per event name. Its size is bounded by the
/// number of event names, which are literals.
class LogLimiter
{
public:
    explicit LogLimiter(LogRate rate)
        : m_rate(rate)
    {}

    /// Returns whether a line of the event may be written now, and counts it as suppressed if not.
    /// Complexity: logarithmic in the number of events.
    bool admit(std::string_view event, TimePoint now);

    /// Returns the number of lines of an event suppressed since the last call, and resets it.
    std::uint64_t takeSuppressed(std::string_view event);

    /// Returns the suppressed lines of all events that have any, and resets them.
    std::vector<std::pair<std::string_view, std::uint64_t>> takeAllSuppressed();

    /// Returns the total number of suppressed lines.
    std::uint64_t totalSuppressed() const { return m_total; }

private:
    struct Bucket
    {
        double m_tokens = 0;
        TimePoint m_filledAt;
        std::uint64_t m_suppressed = 0;
    };

    void refill(Bucket &bucket, TimePoint now) const;

    LogRate m_rate;
    std::map<std::string_view, Bucket> m_buckets;
    std::uint64_t m_total = 0;
};

} // namespace gypsumdale::detail
