#include <gypsumdale/serving/fleet_quota.hpp>

#include <algorithm> // clamp, max, min
#include <cmath> // floor
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Fraction of the usage tolerated per window that is admitted. The rest is the margin for what VMs
/// admit before they receive each other's reports.
constexpr double admittedFraction = 0.90;
/// Reduction of that fraction for each step by which exchange intervals are stretched, and its
/// minimum.
constexpr double reductionPerStep = 0.02;
constexpr double minAdmittedFraction = 0.58;
/// Reduction of that fraction after a restart in a large fleet, until the VM had the time to
/// receive the others' reports: what they admitted before is in no report it received, and the
/// fleet's excess before the restart is unknown.
constexpr double restartReduction = 0.1;
/// Fraction of an account's burst that its bucket holds while exchange intervals are stretched. All
/// VMs see the bucket full and take from it before they receive each other's reports; the remainder
/// is added to the rate instead.
constexpr double stretchedBurstFraction = 0.5;
/// Minimum capacity, in seconds of the rate, for accounts without a burst.
constexpr double minBurstSeconds = 0.5;
/// Minimum share of the rate of a VM, as a fraction of an even share, so that a VM that saw no
/// demand can begin.
constexpr double minEvenShareFraction = 0.5;
/// Largest growth of the demand that is assumed of the peers.
constexpr double maxGrowth = 20;
/// Minimum time over which a level is brought back to its target: less would refuse requests that
/// only came in a cluster.
constexpr Duration minHorizon = std::chrono::milliseconds(500);
/// Requests that a VM receives by chance beyond its share, while a rise of the demand is possible
/// and when it is certain.
constexpr double possibleRiseRequests = 1.5;
constexpr double certainRiseRequests = 1;
/// Factor of the rate below which a VM's admissions are not taken for an excess.
constexpr double excessRateFactor = 1.25;
/// Debt in capacities from which everything is refused. The estimate is held far above it; this is
/// the limit while estimates are wrong.
constexpr double maxDebtCapacities = 3;
/// Time for which an account counts as over its quota after its last restricted request.
constexpr Duration overSpan = std::chrono::seconds(3);
constexpr Duration minRetryAfter = std::chrono::milliseconds(250);
/// Longest time for which a caller waits for the refill alone.
constexpr Duration maxRefillTime = std::chrono::seconds(2);
/// Fraction of the rate that returning callers are spread over; new requests use the rest.
constexpr double returnRateFraction = 0.3;

} // namespace

double FleetQuota::capacityOf(const ClientAccount &account) const
{
    const double burstFraction = m_stretch > 1 ? stretchedBurstFraction : 1.0;
    return std::max(burstFraction * account.m_burst, minBurstSeconds * account.m_ratePerSecond);
}

/// Returns the rate at which a bucket fills, so that one full bucket and the refill of a window
/// together are the usage that users tolerate in a window. A lower rate would refuse requests that
/// are due: an account's clustered requests use up its rate and burst well below the tolerated
/// quota.
double FleetQuota::rateOf(const ClientAccount &account) const
{
    const double window = toSeconds(m_settings.m_window);
    const double tolerated =
            (account.m_ratePerSecond * window + account.m_burst) * (1 + m_settings.m_overage)
            + m_settings.m_slack;
    const bool isRestarting = m_expectedNodes > 0 && m_stretch > 1;
    const double reduction = isRestarting ? restartReduction : 0;
    const double fraction = std::max(
            admittedFraction - reductionPerStep * (m_stretch - 1) - reduction, minAdmittedFraction);
    return std::max((fraction * tolerated - capacityOf(account)) / window, 0.0);
}

namespace {

/// Returns where a remainder starts, from 0 to 1. It differs between VMs, as no two have admitted
/// the same: if all started at 0, the first requests of all VMs would be refused together.
double startPhase(double admittedTotal, std::size_t quotaClass)
{
    constexpr double goldenRatio = 0.6180339887498949;
    const double turns = goldenRatio * (admittedTotal + static_cast<double>(quotaClass));
    return turns - std::floor(turns);
}

} // namespace

void FleetQuota::setPeerUsage(const std::string &node, std::map<AccountId, ReportedUsage> uses,
                              TimePoint now)
{
    advanceReachableTime(now);
    const auto [entry, isNew] = m_peers.try_emplace(node);
    Peer &peer = entry->second;
    const Duration silence = now - std::exchange(peer.m_lastReportAt, now);
    const std::map<AccountId, ReportedUsage> before = std::exchange(peer.m_usage, std::move(uses));
    for (auto &[account, bucket] : m_buckets)
        addSample(peer, account, bucket, now);
    if (isNew)
        return;
    const double reservedSeconds = toSeconds(std::max(silence - silenceLimit(), Duration::zero()));
    for (const auto &[account, use] : peer.m_usage) {
        const auto known = before.find(account);
        setUsage(peer, account, use, known == before.end() ? ReportedUsage() : known->second,
                 reservedSeconds, now);
    }
}

/// Counts a peer's report in the sample of the account's present demand; also that of a peer which
/// has no request of the account.
void FleetQuota::addSample(Peer &peer, const AccountId &account, Bucket &bucket, TimePoint now)
{
    AccountTrack &track = peer.m_tracks[account];
    if (std::exchange(track.m_isNew, false))
        track.m_part = 1 / static_cast<double>(m_peers.size() + 1);
    const auto found = peer.m_usage.find(account);
    const double demand = found == peer.m_usage.end() ? 0 : found->second.m_demandPerSecond;
    track.m_part = bucket.m_demand.addReport(demand, track.m_part, now);
}

/// Charges what a peer admitted since its last report, and corrects the estimate of it.
void FleetQuota::setUsage(Peer &peer, const AccountId &account, const ReportedUsage &use,
                          const ReportedUsage &before, double reservedSeconds, TimePoint now)
{
    // A restarted VM counts from zero.
    const bool isRestarted = use.m_admittedTotal < before.m_admittedTotal;
    const double admitted = use.m_admittedTotal - (isRestarted ? 0 : before.m_admittedTotal);
    Bucket &bucket = bucketOf(account, now);
    advanceEstimate(bucket, now);
    AccountTrack &track = peer.m_tracks[account];
    const double earlier = std::exchange(track.m_admittedSeconds, bucket.m_admittedSeconds);
    const double estimated = before.m_demandPerSecond * (bucket.m_admittedSeconds - earlier);
    bucket.m_peersDemand += use.m_demandPerSecond - before.m_demandPerSecond;
    // The admissions of a VM while no reports were received from it came out of the share
    // reserved for it, but nothing was reserved before its silence was detected. Without this
    // correction, an account gained additional tokens with each silence.
    const double charged = std::max(admitted - reservedSeconds * bucket.m_ratePerNode, 0.0);
    bucket.m_level -= charged;
    bucket.m_estimate -= charged - (reservedSeconds > 0 ? 0 : estimated);
}

std::map<AccountId, ReportedUsage> FleetQuota::localUsage(TimePoint now)
{
    std::map<AccountId, ReportedUsage> result;
    for (auto &[account, bucket] : m_buckets) {
        const double demand = bucket.m_demand.perSecond(now);
        if (bucket.m_admittedTotal <= 0 && demand <= 0)
            continue;
        ReportedUsage &use = result[account];
        use = {bucket.m_admittedTotal, demand, {}};
        if (now >= bucket.m_overUntil)
            continue;
        const ByQuotaClass byClass = bucket.m_demand.byClass(now);
        use.m_demandByPriority.assign(byClass.begin(), byClass.end());
    }
    return result;
}

FleetQuota::Fleet FleetQuota::observeFleet(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const auto &peer) {
        return now - peer.second.m_lastReportAt > m_settings.m_peerRemovalTimeout;
    });
    Fleet fleet;
    const std::size_t known = m_peers.size() + 1;
    fleet.m_nodes = static_cast<double>(std::max(known, m_expectedNodes));
    fleet.m_silent = m_expectedNodes > known ? m_expectedNodes - known : 0;
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.m_lastReportAt > silenceLimit())
            ++fleet.m_silent;
    }
    return fleet;
}

/// Returns the demand over the reachable VMs, and this VM's share of the rate.
FleetQuota::Outlook FleetQuota::observeDemand(Bucket &bucket, const AccountId &account,
                                              const Fleet &fleet, TimePoint now) const
{
    Outlook outlook;
    double peers = 0;
    for (const auto &[node, peer] : m_peers) {
        const auto found = peer.m_usage.find(account);
        const bool isReachable = now - peer.m_lastReportAt <= silenceLimit();
        if (!isReachable || found == peer.m_usage.end())
            continue;
        const ReportedUsage &use = found->second;
        peers += use.m_demandPerSecond;
        const std::size_t classes = std::min(use.m_demandByPriority.size(), quotaClasses);
        for (std::size_t place = 0; place < classes; ++place)
            outlook.m_peersByClass[place] += use.m_demandByPriority[place];
        if (classes == 0)
            outlook.m_peersByClass.back() += use.m_demandPerSecond;
    }
    outlook.m_estimate = bucket.m_demand.estimate(peers, now);
    outlook.m_share = std::max(outlook.m_estimate.m_ownPart * fleet.reachableShare(),
                               minEvenShareFraction / fleet.m_nodes);
    bucket.m_peersDemand = peers;
    const double own = bucket.m_demand.perSecond(now);
    const double peersNow = std::max(outlook.m_estimate.m_now - own, 0.0);
    bucket.m_growth = peers > 0 ? std::min(peersNow / peers, maxGrowth) : 1;
    return outlook;
}

/// Lowers the estimated level to an assumed one by what the peers are taken to have admitted; their
/// reports correct it.
void FleetQuota::assumeExcess(Bucket &bucket, double level)
{
    const double excess = bucket.m_estimate - level;
    if (excess <= 0 || bucket.m_peersDemand <= 0)
        return;
    bucket.m_admittedSeconds += excess / bucket.m_peersDemand;
    bucket.m_estimate = level;
}

/// Returns the fractions to admit. During a surge the bucket's level is assumed to be that of a
/// fleet in which every VM went beyond its share as this one did.
QuotaAllocation FleetQuota::allocate(Bucket &bucket, const ClientAccount &account,
                                     const Fleet &fleet, const Outlook &outlook,
                                     TimePoint now) const
{
    QuotaAllocationInput input;
    input.m_demand = bucket.m_demand.byClass(now);
    for (std::size_t place = 0; place < quotaClasses; ++place)
        input.m_demand[place] += outlook.m_peersByClass[place] * bucket.m_growth;
    const double reachable = fleet.reachableShare();
    input.m_ratePerSecond = rateOf(account) * reachable;
    input.m_capacity = capacityOf(account) * reachable;
    input.m_level = bucket.m_estimate;
    input.m_horizon = std::max(minHorizon, reportInterval());
    const DemandRise rise = outlook.m_estimate.m_rise;
    if (rise == DemandRise::None || outlook.m_estimate.m_now <= input.m_ratePerSecond)
        return allocateQuota(input);
    const double clusters =
            rise == DemandRise::Certain ? certainRiseRequests : possibleRiseRequests;
    const double excess = std::max(bucket.m_excess - clusters * bucket.m_demand.typicalCost(), 0.0);
    const double assumed = input.m_capacity - excess * reachable / outlook.m_share;
    if (rise == DemandRise::Certain)
        assumeExcess(bucket, assumed);
    input.m_level = std::min(bucket.m_estimate, assumed);
    input.m_horizon = minHorizon;
    return allocateQuota(input);
}

/// Adds the time since the last call, weighted by the share of VMs whose reports were received. The
/// part of the rate that the others may have admitted meanwhile is never refilled, also not into a
/// bucket that is used only later. Returns the fleet's current state.
FleetQuota::Fleet FleetQuota::advanceReachableTime(TimePoint now)
{
    const Fleet fleet = observeFleet(now);
    const double passed = toSeconds(now - std::exchange(m_reachableUntil, now));
    m_reachableSeconds += passed * fleet.reachableShare();
    return fleet;
}

/// Returns an account's bucket. It fills from the moment at which this VM first learns of the
/// account, from a caller or a peer, or from the restart. When buckets filled only from the first
/// local request on, they didn't cover what the peers had admitted before: in a fleet of 80 an
/// account below its quota was refused at each VM for the first seconds, and a restarted VM refused
/// the first request of each account.
FleetQuota::Bucket &FleetQuota::bucketOf(const AccountId &account, TimePoint now)
{
    const auto [entry, isNew] = m_buckets.try_emplace(account);
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket.m_filledAt = m_settings.m_restartedAt.value_or(now);
        bucket.m_estimatedAt = bucket.m_filledAt;
        if (m_settings.m_restartedAt)
            bucket.m_demand.setKnownSince(*m_settings.m_restartedAt);
        bucket.m_filledToReachable = m_settings.m_restartedAt ? 0 : m_reachableSeconds;
    }
    return bucket;
}

/// Subtracts what the peers are estimated to have admitted up to now.
void FleetQuota::advanceEstimate(Bucket &bucket, TimePoint now)
{
    const double passed = toSeconds(now - std::exchange(bucket.m_estimatedAt, now));
    const double admittedSeconds = passed * bucket.m_growth * bucket.m_admittedFraction;
    bucket.m_admittedSeconds += admittedSeconds;
    bucket.m_estimate -= admittedSeconds * bucket.m_peersDemand;
}

void FleetQuota::fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet,
                      TimePoint now) const
{
    const double capacity = capacityOf(account) * fleet.reachableShare();
    advanceEstimate(bucket, now);
    if (std::exchange(bucket.m_isNew, false) && !m_settings.m_restartedAt) {
        bucket.m_level += capacity;
        bucket.m_estimate += capacity;
    }
    const double reachable =
            m_reachableSeconds - std::exchange(bucket.m_filledToReachable, m_reachableSeconds);
    const double refill = rateOf(account) * reachable;
    bucket.m_filledAt = now;
    bucket.m_ratePerNode = rateOf(account) / fleet.m_nodes;
    bucket.m_level = std::min(bucket.m_level + refill, capacity);
    bucket.m_estimate = std::min(bucket.m_estimate + refill, capacity);
}

QuotaDecision FleetQuota::admit(const ClientAccount &account, int priority, double cost,
                                TimePoint now)
{
    QuotaDecision decision;
    if (account.m_ratePerSecond <= 0)
        return decision;
    const std::size_t quotaClass = quotaClassOf(priority);
    const Fleet fleet = advanceReachableTime(now);
    Bucket &bucket = bucketOf(account.m_id, now);
    const double passed = toSeconds(now - bucket.m_filledAt);
    fill(bucket, account, fleet, now);
    bucket.m_demand.add(quotaClass, cost, now);
    const Outlook outlook = observeDemand(bucket, account.m_id, fleet, now);
    const double rateShare = rateOf(account) * outlook.m_share;
    bucket.m_excess = std::max(bucket.m_excess - excessRateFactor * rateShare * passed, 0.0);
    const QuotaAllocation allocation = allocate(bucket, account, fleet, outlook, now);
    bucket.m_admittedFraction =
            std::min(allocation.m_budget / std::max(allocation.m_demand, 1.0), 1.0);
    decision.m_capacity = capacityOf(account) * fleet.reachableShare();
    decision.m_level = bucket.m_estimate;
    decision.m_silentPeers = fleet.m_silent;
    decision.m_fraction = allocation.m_fractions[quotaClass];
    decision.m_allocation = allocation.m_reason;
    decision.m_demand = allocation.m_demand;
    decision.m_budget = allocation.m_budget;
    if (allocation.m_reason != AllocationReason::WithinQuota)
        bucket.m_overUntil = now + overSpan;
    if (bucket.m_level <= -maxDebtCapacities * decision.m_capacity)
        decision.m_verdict = QuotaVerdict::OverLimit;
    else if (!takeTurn(bucket, quotaClass, decision.m_fraction))
        decision.m_verdict = QuotaVerdict::OverRateShare;
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        bucket.m_level -= cost;
        bucket.m_estimate -= cost;
        bucket.m_admittedTotal += cost;
        bucket.m_excess += cost;
        return decision;
    }
    decision.m_retryAfter =
            returnDelay(bucket, account, quotaClass, cost, fleet, outlook.m_share, now);
    return decision;
}

/// Returns when a refused caller finds room. The earliest time is based on the refill of the
/// fleet's bucket, not of this VM's share: a caller that retries is sent to another VM, and would
/// wait too long for this one's share.
Duration FleetQuota::returnDelay(Bucket &bucket, const ClientAccount &account,
                                 std::size_t quotaClass, double cost, const Fleet &fleet,
                                 double share, TimePoint now) const
{
    const double rate = rateOf(account);
    const double missing = cost - std::min(bucket.m_level, 0.0);
    const Duration refillTime = fromSeconds(missing / std::max(rate * fleet.reachableShare(), 1.0));
    const Duration earliest = std::clamp(refillTime, minRetryAfter, maxRefillTime);
    // A request larger than the bucket has no time at which it finds room.
    if (cost > capacityOf(account))
        return earliest;
    return bucket.m_returns.reserve(quotaClass, cost, earliest, returnRateFraction * rate * share,
                                    now);
}

/// Adds a fraction to a class's remainder, and takes a whole request from it if there is one.
bool FleetQuota::takeTurn(Bucket &bucket, std::size_t quotaClass, double fraction)
{
    if (fraction >= 1)
        return true;
    double &credit = bucket.m_credit[quotaClass];
    if (credit < 0)
        credit = startPhase(bucket.m_admittedTotal, quotaClass);
    credit += fraction;
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

} // namespace gypsumdale
