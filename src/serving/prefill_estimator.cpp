#include <gypsumdale/serving/prefill_estimator.hpp>

#include <algorithm> // max, min_element, nth_element
#include <cstddef> // ptrdiff_t, size_t
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Shorter prompts are read within the time that a connection and a step take: what differs between
/// them isn't reading.
constexpr std::int64_t leastTokens = 500;
/// Requests that the speed is taken from.
constexpr std::size_t mostSamples = 32;
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

void PrefillEstimator::recordPlacement(std::int64_t ownTokens, TimePoint now)
{
    m_demand.add(static_cast<double>(ownTokens), now);
}

void PrefillEstimator::recordUncontended(std::int64_t ownTokens, Duration wait)
{
    if (ownTokens < leastTokens || wait <= Duration::zero())
        return;
    m_samples.push_back({static_cast<double>(ownTokens), toSeconds(wait)});
    if (m_samples.size() > mostSamples)
        m_samples.pop_front();
}

/// Returns the speeds if all of a wait were spent on reading.
std::vector<double> PrefillEstimator::wholeSpeeds(const std::deque<Sample> &samples)
{
    std::vector<double> speeds;
    speeds.reserve(samples.size());
    for (const Sample &sample : samples)
        speeds.push_back(sample.m_tokens / sample.m_seconds);
    return speeds;
}

/// Returns the speeds by what the longer half of the prompts took beyond the quickest, whose wait
/// is nearly the part that is the same for all. Prompts about as long as the quickest one show how
/// waits vary, not how they grow.
std::vector<double> PrefillEstimator::speedsBeyondQuickest(const std::deque<Sample> &samples)
{
    const auto quickest = std::min_element(samples.begin(), samples.end(),
                                           [](const Sample &left, const Sample &right) {
                                               return left.m_seconds < right.m_seconds;
                                           });
    std::vector<double> lengths;
    lengths.reserve(samples.size());
    for (const Sample &sample : samples)
        lengths.push_back(sample.m_tokens);
    const double least = std::max(quantileOf(std::move(lengths), 0.5), quickest->m_tokens);
    std::vector<double> speeds;
    for (const Sample &sample : samples) {
        const double beyond = sample.m_seconds - quickest->m_seconds;
        if (sample.m_tokens > least && beyond > 0)
            speeds.push_back((sample.m_tokens - quickest->m_tokens) / beyond);
    }
    return speeds;
}

/// Returns the speed that the requests kept show, 0 if they are too few. Where lengths differ too
/// little for a comparison, all of a wait counts as reading, which is at most too slow.
double PrefillEstimator::speed() const
{
    if (m_samples.size() < fewestSpeeds)
        return 0;
    const double whole = quantileOf(wholeSpeeds(m_samples), takenQuantile);
    std::vector<double> beyond = speedsBeyondQuickest(m_samples);
    if (beyond.size() < fewestSpeeds)
        return whole;
    return std::max(whole, quantileOf(std::move(beyond), takenQuantile));
}

PrefillRate PrefillEstimator::rate(TimePoint now)
{
    PrefillRate rate;
    rate.m_demand = m_demand.sum(now) / toSeconds(demandSpan);
    rate.m_speed = speed();
    return rate;
}

std::map<ServiceId, PrefillRate> FleetPrefillRates::ownRates(TimePoint now)
{
    std::map<ServiceId, PrefillRate> rates;
    for (auto &[service, reading] : m_own)
        rates[service] = reading.rate(now);
    return rates;
}

void FleetPrefillRates::setPeer(const std::string &node, std::map<ServiceId, PrefillRate> rates)
{
    m_peers[node] = std::move(rates);
}

std::map<ServiceId, PrefillRate> FleetPrefillRates::fleetRates(TimePoint now)
{
    std::map<ServiceId, PrefillRate> fleet;
    std::map<ServiceId, std::vector<double>> speeds;
    const auto add = [&](const std::map<ServiceId, PrefillRate> &rates) {
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
