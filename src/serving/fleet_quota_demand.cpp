#include <gypsumdale/serving/fleet_quota_demand.hpp>

#include <algorithm> // clamp, max, min
#include <cmath> // sqrt
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Weight of a request in the typical cost for each typical cost that it has.
constexpr double costWeight = 0.05;
/// Weight of a report in its peer's part of the demand.
constexpr double partWeight = 0.3;
constexpr Duration minSpan = std::chrono::milliseconds(300);
/// Time over which the demand is averaged that a rise is measured from.
constexpr Duration usualSpan = std::chrono::milliseconds(500);
/// Time over which this VM's part of the demand is averaged.
constexpr Duration ownPartSpan = std::chrono::seconds(2);
/// Standard deviations beyond which a change of the demand is not explained by chance: of this VM
/// and the sampled peers together, and of the sampled peers alone.
constexpr double certainDeviations = 4;
constexpr double sampleDeviations = 2;
/// Typical requests that arrive together by chance.
constexpr double clusterRequests = 2;

} // namespace

void AccountDemand::add(std::size_t quotaClass, double cost, TimePoint now)
{
    m_own.add(cost, now);
    m_recent.add(cost, now);
    if (m_typicalCost <= 0)
        m_typicalCost = cost;
    const double weight = std::min(costWeight * cost / m_typicalCost, 1.0);
    m_typicalCost += weight * (cost - m_typicalCost);
    m_byClass.try_emplace(quotaClass, span, slot).first->second.add(cost, now);
}

double AccountDemand::addReport(double demand, double part, TimePoint now)
{
    m_sampledDemand.add(demand, now);
    m_sampledPart.add(part, now);
    if (m_lastEstimate <= 0)
        return part;
    return part + partWeight * (std::min(demand / m_lastEstimate, 1.0) - part);
}

double AccountDemand::perSecond(TimePoint now)
{
    return m_own.sum(now) / spanSeconds(now);
}

ByQuotaClass AccountDemand::byClass(TimePoint now)
{
    ByQuotaClass result{};
    for (auto &[quotaClass, sum] : m_byClass)
        result[quotaClass] = sum.sum(now) / spanSeconds(now);
    return result;
}

/// Returns the span over which requests are counted, which is shorter just after a restart.
double AccountDemand::spanSeconds(TimePoint now) const
{
    return toSeconds(std::clamp(now - m_knownSince, minSpan, span));
}

double AccountDemand::deviation(double expected) const
{
    return std::sqrt(std::max(expected, m_typicalCost) * m_typicalCost);
}

DemandEstimate AccountDemand::estimate(double peersDemand, TimePoint now)
{
    const double own = perSecond(now);
    DemandEstimate result;
    result.m_known = own + peersDemand;
    result.m_now = result.m_known;
    if (peersDemand <= 0 || result.m_known <= 0) {
        m_lastEstimate = result.m_known;
        m_ownPart = 1;
        return result;
    }
    if (m_ownPart < 0)
        m_ownPart = own / result.m_known;
    const double part = m_sampledPart.sum(now) + m_ownPart;
    const double sampled = m_sampledDemand.sum(now) + own;
    const double passed = toSeconds(now - std::exchange(m_estimatedAt, now));
    m_usual += std::min(passed / toSeconds(usualSpan), 1.0) * (result.m_known - m_usual);
    const double expected = part * m_usual;
    const double reports = (sampled - expected) / deviation(expected);
    const double expectedHere = m_ownPart * m_usual * toSeconds(sampleSpan);
    const double localDeviations = (m_recent.sum(now) - expectedHere) / deviation(expectedHere);
    const bool isCertain = reports + localDeviations >= certainDeviations * std::sqrt(2.0);
    if (reports >= sampleDeviations)
        result.m_rise = isCertain ? DemandRise::Certain : DemandRise::Possible;
    const double margin = certainDeviations * deviation(sampled);
    const double most = (sampled + margin) / part;
    double least = std::max(sampled - margin, 0.0) / part;
    if (result.m_rise != DemandRise::None) {
        const double clusters = clusterRequests * m_typicalCost;
        const double here = std::max(m_recent.sum(now) - clusters, 0.0) / toSeconds(sampleSpan);
        least = std::max(sampled / part, here / m_ownPart);
    }
    result.m_now = std::clamp(result.m_known, least, std::max(most, least));
    const double weight = std::min(passed / toSeconds(ownPartSpan), 1.0);
    m_ownPart += weight * (std::min(own / result.m_now, 1.0) - m_ownPart);
    result.m_ownPart = m_ownPart;
    m_lastEstimate = result.m_now;
    return result;
}

} // namespace gypsumdale
