#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint32_t

namespace gypsumdale {

/// What this process measured at one upstream: smoothed times of tokens, and failures. Failures and
/// the time to the first token fade; an upstream that was slow would never be tried again if that
/// were not forgotten.
class UpstreamMeasurements
{
public:
    void recordFirstTokenTime(Duration taken, TimePoint now);
    /// So many tokens came in the time since the ones before.
    void recordTokenInterval(std::uint32_t count, Duration passed);
    void recordFailure(TimePoint now);

    /// Zero while unknown, as the time between tokens.
    Duration firstToken(TimePoint now) const;
    Duration betweenTokens() const;
    double failures(TimePoint now) const;

private:
    double m_firstTokenSeconds = 0.0;
    TimePoint m_firstTokenAt{};
    double m_betweenTokensSeconds = 0.0;
    double m_failures = 0.0;
    TimePoint m_failuresAt{};
};

} // namespace gypsumdale
