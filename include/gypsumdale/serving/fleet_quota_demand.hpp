#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/quota_allocation.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <map> // map

namespace gypsumdale {

/// Rise of the demand at this VM and at the peers that reported last, which most reports cannot
/// show yet.
enum class DemandRise {
    None,
    /// The peers that reported last see more than usual; it may be chance.
    Possible,
    /// Chance doesn't explain it.
    Certain,
};

/// Estimate of an account's demand over the VMs whose reports are received, in quota units per
/// second.
struct DemandEstimate
{
    /// Demand as known from the peers' last reports, and as estimated for now.
    double m_known = 0;
    double m_now = 0;
    /// This VM's part of the demand, from 0 to 1.
    double m_ownPart = 1;
    DemandRise m_rise = DemandRise::None;
};

/// Demand of one account at this VM, and its change over the fleet.
///
/// In a fleet of 77, a peer reports every 1.75 s, but some peer reports every 25 ms. The demand of
/// those that reported within the last moments, divided by their usual part of the account's
/// demand, is a sample of the present demand of all.
class AccountDemand
{
public:
    /// Sets the start of the process, before which the requests are unknown.
    void setKnownSince(TimePoint since) { m_knownSince = since; }

    /// Counts a request of this VM. Complexity: logarithmic in the classes in use.
    void add(std::size_t quotaClass, double cost, TimePoint now);

    /// Counts a peer's report as a part of the sample. The part is the peer's usual part of the
    /// demand. Returns its new part. Complexity: amortised constant.
    double addReport(double demand, double part, TimePoint now);

    /// Returns the average demand of the last second, as peers are told it.
    double perSecond(TimePoint now);

    /// Returns the same by class.
    ByQuotaClass byClass(TimePoint now);

    /// Estimates the fleet's demand from the sum that the peers last reported. Complexity:
    /// amortised constant.
    DemandEstimate estimate(double peersDemand, TimePoint now);

    /// Returns an amount that a VM receives by chance at once.
    double typicalCost() const { return m_typicalCost; }

private:
    /// Long enough to smooth clusters of requests, short enough to follow a burst.
    static constexpr Duration span = std::chrono::seconds(1);
    static constexpr Duration slot = std::chrono::milliseconds(50);
    /// Span of the reports that are a sample of the present demand.
    static constexpr Duration sampleSpan = std::chrono::milliseconds(250);
    static constexpr Duration sampleSlot = std::chrono::milliseconds(25);

    double deviation(double expected) const;
    double spanSeconds(TimePoint now) const;

    SlidingSum m_own{span, slot};
    SlidingSum m_recent{sampleSpan, sampleSlot};
    SlidingSum m_sampledDemand{sampleSpan, sampleSlot};
    SlidingSum m_sampledPart{sampleSpan, sampleSlot};
    std::map<std::size_t, SlidingSum> m_byClass;
    /// Mean cost of a request, weighted by cost: the variance of a sum of requests is this times
    /// its mean.
    double m_typicalCost = 0;
    double m_ownPart = -1;
    TimePoint m_knownSince{};
    /// The known demand, averaged, which a rise is measured from.
    double m_usual = 0;
    /// The last estimate, which reports are compared to.
    double m_lastEstimate = 0;
    TimePoint m_estimatedAt{};
};

} // namespace gypsumdale
