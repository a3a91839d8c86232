#include <gypsumdale/policy/service_rate.hpp>

#include <cmath> // exp2

namespace gypsumdale {

namespace {

/// With less measured time than this, the rate is too noisy.
constexpr double minSeconds = 0.25;

} // namespace

ServiceRate::ServiceRate(Duration halfLife)
    : m_halfLife(toSeconds(halfLife))
{}

void ServiceRate::recordServed(std::uint64_t tokens, TimePoint now, bool isBacklogged)
{
    if (m_wasBacklogged) {
        const double passed = toSeconds(now - m_lastAt);
        const double kept = std::exp2(-passed / m_halfLife);
        m_tokens = m_tokens * kept + static_cast<double>(tokens);
        m_seconds = m_seconds * kept + passed;
    }
    m_lastAt = now;
    m_wasBacklogged = isBacklogged;
}

double ServiceRate::tokensPerSecond() const
{
    return m_seconds < minSeconds ? 0.0 : m_tokens / m_seconds;
}

} // namespace gypsumdale
