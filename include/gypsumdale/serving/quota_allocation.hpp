#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <array> // array
#include <cstddef> // size_t
#include <string_view> // string_view

namespace gypsumdale {

/// Number of priority classes of requests; class 0 is the most urgent.
constexpr std::size_t quotaClasses = 10;

/// An amount for each priority class, the most urgent first.
using ByQuotaClass = std::array<double, quotaClasses>;

enum class AllocationReason {
    /// The bucket covers the demand.
    WithinQuota,
    /// The demand is higher than the rate.
    DemandOverRate,
    /// The demand is within the rate, but the bucket has to be refilled first.
    LevelLow,
};

inline constexpr NameTable<AllocationReason, 3> allocationReasonNames = {{
        {AllocationReason::WithinQuota, "within-quota"},
        {AllocationReason::DemandOverRate, "demand-over-rate"},
        {AllocationReason::LevelLow, "level-low"},
}};

/// State of one account over the VMs whose reports are received.
struct QuotaAllocationInput
{
    /// Demand by class, in quota units per second.
    ByQuotaClass m_demand{};
    double m_ratePerSecond = 0;
    /// Estimated remaining tokens of the bucket, negative in debt, and its capacity.
    double m_level = 0;
    double m_capacity = 0;
    /// Time over which the level is brought back to its target.
    Duration m_horizon = std::chrono::seconds(1);
};

/// Fractions of the requests to admit, from 0 to 1, by class.
struct QuotaAllocation
{
    AllocationReason m_reason = AllocationReason::WithinQuota;
    ByQuotaClass m_fractions{};
    /// Quota units per second that may be admitted, and the demand of all classes.
    double m_budget = 0;
    double m_demand = 0;
};

/// Returns the class of a request's priority. Priorities outside the range count as the nearest
/// class.
std::size_t quotaClassOf(int priority);

/// Divides what an account may use among its priority classes. The budget is the rate, corrected so
/// that the bucket's level returns to its target within the horizon: it falls smoothly with the
/// level and never to zero. Each class gets at least half of the average fraction; the rest goes to
/// the classes in order, the most urgent first. A negative or undefined demand counts as none.
/// Complexity: linear in the classes.
QuotaAllocation allocateQuota(const QuotaAllocationInput &input);

} // namespace gypsumdale
