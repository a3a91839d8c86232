#include <gypsumdale/policy/service_rate.hpp>

#include <cmath> // exp2

namespace gypsumdale {

namespace {

/// Below this much observed time a rate is noise.
constexpr double LEAST_SECONDS = 0.25;
constexpr double FIRST_TOKEN_GAIN = 0.1;

} // namespace

ServiceRate::ServiceRate(Duration halfLife)
    : m_halfLife(std::chrono::duration<double>(halfLife).count())
{}

void ServiceRate::served(std::uint64_t tokens, TimePoint now, bool isBacklogged)
{
    if (m_wasBacklogged) {
        const double passed = std::chrono::duration<double>(now - m_lastAt).count();
        const double kept = std::exp2(-passed / m_halfLife);
        m_tokens = m_tokens * kept + static_cast<double>(tokens);
        m_seconds = m_seconds * kept + passed;
    }
    m_lastAt = now;
    m_wasBacklogged = isBacklogged;
}

void ServiceRate::firstToken(Duration taken)
{
    if (m_firstToken == Duration{}) {
        m_firstToken = taken;
        return;
    }
    const auto change = static_cast<double>((taken - m_firstToken).count()) * FIRST_TOKEN_GAIN;
    m_firstToken += Duration(static_cast<Duration::rep>(change));
}

double ServiceRate::tokensPerSecond() const
{
    return m_seconds < LEAST_SECONDS ? 0.0 : m_tokens / m_seconds;
}

} // namespace gypsumdale
