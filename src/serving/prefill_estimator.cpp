#include <gypsumdale/serving/prefill_estimator.hpp>

#include <algorithm> // max, min_element, nth_element
#include <cstddef> // ptrdiff_t, size_t
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Shorter prompts are read within the time of a connection and a processing step, so that their
/// differences in delay aren't caused by prefill.
constexpr std::int64_t minTokens = 500;
/// Number of requests from which the speed is estimated.
constexpr std::size_t maxSamples = 32;
/// Minimum number of observed speeds for an estimate.
constexpr std::size_t minSpeeds = 4;
/// Quantile of the observed speeds that is used. A shared part that was not cached, or an
/// unreported request of another VM, appears as a lower speed; nothing appears as a higher one.
constexpr double speedQuantile = 0.75;

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
    if (ownTokens < minTokens || wait <= Duration::zero())
        return;
    m_samples.push_back({static_cast<double>(ownTokens), toSeconds(wait)});
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

/// Returns the speeds on the assumption that the whole delay was spent on prefill.
std::vector<double> PrefillEstimator::totalDelaySpeeds(const std::deque<Sample> &samples)
{
    std::vector<double> speeds;
    speeds.reserve(samples.size());
    for (const Sample &sample : samples)
        speeds.push_back(sample.m_tokens / sample.m_seconds);
    return speeds;
}

/// Returns the speeds from the extra time that the longer half of the prompts took over the
/// quickest one, whose delay is nearly the part common to all. Prompts about as long as the
/// quickest one show the variance of the delay, not its growth.
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

/// Returns the speed estimated from the recorded requests, 0 if they are too few. Where lengths
/// differ too little for a comparison, the whole delay counts as prefill, which at worst
/// underestimates the speed.
double PrefillEstimator::speed() const
{
    if (m_samples.size() < minSpeeds)
        return 0;
    const double totalDelaySpeed = quantileOf(totalDelaySpeeds(m_samples), speedQuantile);
    std::vector<double> beyond = speedsBeyondQuickest(m_samples);
    if (beyond.size() < minSpeeds)
        return totalDelaySpeed;
    return std::max(totalDelaySpeed, quantileOf(std::move(beyond), speedQuantile));
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
