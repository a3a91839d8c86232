#include <gypsumdale/serving/request_lifetimes.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// An end among fewer requests says little of those that were not observed at that age.
constexpr std::size_t minObserved = 4;
/// Covers the rounding of the product, whose factors are fractions.
constexpr double rounding = 1e-9;

} // namespace

void RequestLifetimes::addEnded(Duration observedFrom, Duration lifetime)
{
    m_observations.push_back({observedFrom, lifetime, true});
}

void RequestLifetimes::addUnderWay(Duration observedFrom, Duration age)
{
    m_observations.push_back({observedFrom, age, false});
}

RequestLifetimes::Counts RequestLifetimes::countAt(Duration age) const
{
    Counts counts;
    for (const Observation &request : m_observations) {
        if (request.m_until < age)
            continue;
        ++counts.m_lasting;
        if (request.m_from > age)
            continue;
        ++counts.m_observed;
        if (request.m_hasEnded && request.m_until == age)
            ++counts.m_ended;
    }
    return counts;
}

std::set<Duration> RequestLifetimes::endings() const
{
    std::set<Duration> ages;
    for (const Observation &request : m_observations) {
        if (request.m_hasEnded)
            ages.insert(request.m_until);
    }
    return ages;
}

Duration RequestLifetimes::percentile(double part) const
{
    double lasting = 1;
    for (const Duration age : endings()) {
        const Counts counts = countAt(age);
        if (counts.m_observed < minObserved && counts.m_observed < counts.m_lasting)
            continue;
        lasting *= 1 - static_cast<double>(counts.m_ended) / static_cast<double>(counts.m_observed);
        if (lasting <= 1 - part + rounding)
            return age;
    }
    return longest();
}

Duration RequestLifetimes::longest() const
{
    Duration longest{};
    for (const Observation &request : m_observations)
        longest = std::max(longest, request.m_until);
    return longest;
}

} // namespace gypsumdale
