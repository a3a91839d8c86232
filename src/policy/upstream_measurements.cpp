#include <gypsumdale/policy/upstream_measurements.hpp>

#include <cmath> // exp2

namespace gypsumdale {

namespace {

/// Weight of the newest measurement in a smoothed time.
constexpr double smoothingFactor = 0.2;
constexpr double firstTokenHalfLifeSeconds = 2.0;
constexpr double failureHalfLifeSeconds = 10.0;

double smoothed(double previous, double measured)
{
    return previous == 0.0 ? measured : previous + smoothingFactor * (measured - previous);
}

/// Returns the exponential decay of 1 after this time.
double decayFactor(Duration age, double halfLifeSeconds)
{
    return std::exp2(-toSeconds(age) / halfLifeSeconds);
}

} // namespace

void UpstreamMeasurements::recordFirstTokenTime(Duration taken, TimePoint now)
{
    m_firstTokenSeconds = smoothed(m_firstTokenSeconds, toSeconds(taken));
    m_firstTokenAt = now;
}

void UpstreamMeasurements::recordTokenInterval(std::uint32_t count, Duration passed)
{
    m_betweenTokensSeconds = smoothed(m_betweenTokensSeconds, toSeconds(passed) / count);
}

void UpstreamMeasurements::recordFailure(TimePoint now)
{
    m_failures = failures(now) + 1.0;
    m_failuresAt = now;
}

Duration UpstreamMeasurements::firstToken(TimePoint now) const
{
    const double left = decayFactor(now - m_firstTokenAt, firstTokenHalfLifeSeconds);
    return fromSeconds(m_firstTokenSeconds * left);
}

Duration UpstreamMeasurements::betweenTokens() const
{
    return fromSeconds(m_betweenTokensSeconds);
}

double UpstreamMeasurements::failures(TimePoint now) const
{
    return m_failures * decayFactor(now - m_failuresAt, failureHalfLifeSeconds);
}

} // namespace gypsumdale
