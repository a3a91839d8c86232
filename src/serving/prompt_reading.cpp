#include <gypsumdale/serving/prompt_reading.hpp>

#include <algorithm> // nth_element
#include <cstddef> // ptrdiff_t, size_t
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Shorter prompts are read within the time that a connection and a step take, and would show a
/// lower speed.
constexpr std::int64_t leastTokens = 500;
/// Requests that the speed is taken from.
constexpr std::size_t mostSpeeds = 32;
/// So many make a speed.
constexpr std::size_t fewestSpeeds = 4;
/// Of the speeds seen, the one below which three quarters lie is taken: a shared part that was not
/// kept, or a request of another VM that was not reported yet, shows as a lower speed, and nothing
/// shows as a higher one.
constexpr double takenQuantile = 0.75;

double quantileOf(std::vector<double> values, double quantile)
{
    const auto at = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

void PromptReading::notePlaced(std::int64_t ownTokens, TimePoint now)
{
    m_demand.add(static_cast<double>(ownTokens), now);
}

void PromptReading::noteAlone(std::int64_t ownTokens, Duration wait)
{
    if (ownTokens < leastTokens || wait <= Duration::zero())
        return;
    m_speeds.push_back(static_cast<double>(ownTokens) / toSeconds(wait));
    if (m_speeds.size() > mostSpeeds)
        m_speeds.pop_front();
}

ReadingRate PromptReading::rate(TimePoint now)
{
    ReadingRate rate;
    rate.m_demand = m_demand.sum(now) / toSeconds(demandSpan);
    if (m_speeds.size() >= fewestSpeeds)
        rate.m_speed = quantileOf({m_speeds.begin(), m_speeds.end()}, takenQuantile);
    return rate;
}

std::map<ServiceId, ReadingRate> FleetReading::ownRates(TimePoint now)
{
    std::map<ServiceId, ReadingRate> rates;
    for (auto &[service, reading] : m_own)
        rates[service] = reading.rate(now);
    return rates;
}

void FleetReading::setPeer(const std::string &node, std::map<ServiceId, ReadingRate> rates)
{
    m_peers[node] = std::move(rates);
}

std::map<ServiceId, ReadingRate> FleetReading::fleetRates(TimePoint now)
{
    std::map<ServiceId, ReadingRate> fleet;
    std::map<ServiceId, std::vector<double>> speeds;
    const auto add = [&](const std::map<ServiceId, ReadingRate> &rates) {
        for (const auto &[service, rate] : rates) {
            fleet[service].m_demand += rate.m_demand;
            if (rate.m_speed > 0)
                speeds[service].push_back(rate.m_speed);
        }
    };
    add(ownRates(now));
    for (const auto &[node, rates] : m_peers)
        add(rates);
    for (auto &[service, seen] : speeds)
        fleet[service].m_speed = quantileOf(std::move(seen), 0.5);
    return fleet;
}

} // namespace gypsumdale
