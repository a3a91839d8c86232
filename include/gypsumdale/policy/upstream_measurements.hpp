#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint32_t

namespace gypsumdale {

/// Measurements of this process at one upstream: smoothed token times, and failures. Failures and
/// the first-token time decay, as an upstream that was slow would otherwise never be tried again.
class UpstreamMeasurements
{
public:
    void recordFirstTokenTime(Duration taken, TimePoint now);
    /// Records a number of tokens and the time since the previous ones.
    void recordTokenInterval(std::uint32_t count, Duration passed);
    void recordFailure(TimePoint now);

    /// Both times are zero if unknown.
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
