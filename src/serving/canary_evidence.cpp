#include <gypsumdale/serving/canary_evidence.hpp>

#include <algorithm> // max, min
#include <cmath> // log2
#include <numeric> // accumulate

namespace gypsumdale {

std::size_t AnswerCounts::binOf(Duration time)
{
    constexpr double binsPerDoubling = 2;
    const double millis = std::max(1.0, toSeconds(time) * 1000);
    const auto bin = static_cast<std::size_t>(binsPerDoubling * std::log2(millis));
    return std::min(bin, timeBins - 1);
}

void AnswerCounts::add(bool isError, Duration time)
{
    if (isError)
        ++m_errors;
    else
        ++m_times[binOf(time)];
}

std::int64_t AnswerCounts::answers() const
{
    return std::accumulate(m_times.begin(), m_times.end(), m_errors);
}

std::size_t AnswerCounts::medianBin() const
{
    const std::int64_t half = (answers() - m_errors + 1) / 2;
    std::int64_t counted = 0;
    for (std::size_t bin = 0; bin < timeBins; ++bin) {
        counted += m_times[bin];
        if (counted >= half)
            return bin;
    }
    return 0;
}

std::int64_t AnswerCounts::atLeast(std::size_t bin) const
{
    std::int64_t sum = 0;
    for (std::size_t later = bin; later < timeBins; ++later)
        sum += m_times[later];
    return sum;
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    m_errors += other.m_errors;
    for (std::size_t bin = 0; bin < timeBins; ++bin)
        m_times[bin] += other.m_times[bin];
    return *this;
}

AnswerCounts &AnswerCounts::operator-=(const AnswerCounts &other)
{
    m_errors -= other.m_errors;
    for (std::size_t bin = 0; bin < timeBins; ++bin)
        m_times[bin] -= other.m_times[bin];
    return *this;
}

std::int64_t answersIn(const CanaryEvidence &evidence)
{
    std::int64_t sum = 0;
    for (const auto &[key, counts] : evidence)
        sum += counts.answers();
    return sum;
}

CanaryEvidence evidenceSince(const CanaryEvidence &earlier, const CanaryEvidence &now)
{
    CanaryEvidence increment;
    for (const auto &[key, counts] : now) {
        AnswerCounts added = counts;
        if (const auto known = earlier.find(key); known != earlier.end())
            added -= known->second;
        if (added.answers() > 0)
            increment.emplace(key, added);
    }
    return increment;
}

} // namespace gypsumdale
