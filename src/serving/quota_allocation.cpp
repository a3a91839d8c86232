#include <gypsumdale/serving/quota_allocation.hpp>

#include <algorithm> // clamp, max, min
#include <numeric> // accumulate

namespace gypsumdale {

namespace {

/// Level that overload is held at, as a fraction of the capacity. The rest covers the demand that
/// reports do not show yet.
constexpr double targetLevelFraction = 0.3;
/// Longest time over which tokens beyond the target are used.
constexpr Duration surplusHorizon = std::chrono::milliseconds(500);
/// Minimum budget, as a fraction of the rate, so that a debt never blocks an account.
constexpr double minBudgetFraction = 0.2;
/// Part of the average fraction that every class is granted.
constexpr double reservedFraction = 0.5;

} // namespace

std::size_t quotaClassOf(int priority)
{
    return static_cast<std::size_t>(std::clamp(priority, 0, static_cast<int>(quotaClasses) - 1));
}

QuotaAllocation allocateQuota(const QuotaAllocationInput &input)
{
    ByQuotaClass demand{};
    for (std::size_t place = 0; place < quotaClasses; ++place)
        demand[place] = input.m_demand[place] > 0 ? input.m_demand[place] : 0;
    QuotaAllocation result;
    result.m_demand = std::accumulate(demand.begin(), demand.end(), 0.0);
    const double surplus = input.m_level - targetLevelFraction * input.m_capacity;
    const Duration horizon =
            surplus > 0 ? std::min(input.m_horizon, surplusHorizon) : input.m_horizon;
    result.m_budget = std::max(input.m_ratePerSecond + surplus / toSeconds(horizon),
                               minBudgetFraction * input.m_ratePerSecond);
    result.m_fractions.fill(1);
    if (result.m_demand <= result.m_budget)
        return result;
    result.m_reason = result.m_demand > input.m_ratePerSecond ? AllocationReason::DemandOverRate
                                                              : AllocationReason::LevelLow;
    const double reserved = reservedFraction * result.m_budget / result.m_demand;
    double rest = (1 - reservedFraction) * result.m_budget;
    for (std::size_t place = 0; place < quotaClasses; ++place) {
        const double more = std::min((1 - reserved) * demand[place], rest);
        rest -= more;
        // A class without demand so far is admitted as the next request of that urgency would be.
        const double open = rest > 0 ? 1 : reserved;
        result.m_fractions[place] = demand[place] > 0 ? reserved + more / demand[place] : open;
    }
    return result;
}

} // namespace gypsumdale
