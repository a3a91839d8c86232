#include <gypsumdale/serving/fleet_quota.hpp>

#include <algorithm> // clamp, max, min
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
/// Fraction of the capacity below which only this VM's share of the rate is admitted. Above it, the
/// bucket still covers what all VMs admit during one exchange interval.
constexpr double lowLevelFraction = 0.6;
/// Minimum share of the rate of a VM, as a fraction of an even share, so that a VM that saw no
/// demand can begin.
constexpr double minEvenShareFraction = 0.5;
/// Seconds of its share that a VM may accumulate.
constexpr double accumulatedShareSeconds = 1.0;
constexpr Duration minRetryAfter = std::chrono::milliseconds(250);
constexpr Duration maxRetryAfter = std::chrono::seconds(2);

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

void FleetQuota::setPeerUsage(const std::string &node, std::map<AccountId, ReportedUsage> uses,
                              TimePoint now)
{
    advanceReachableTime(now);
    const auto [entry, isNew] = m_peers.try_emplace(node);
    Peer &peer = entry->second;
    const Duration silence = now - std::exchange(peer.m_lastReportAt, now);
    const std::map<AccountId, ReportedUsage> before = std::exchange(peer.m_usage, std::move(uses));
    if (isNew)
        return;
    const double reservedSeconds = toSeconds(std::max(silence - silenceLimit(), Duration::zero()));
    for (const auto &[account, use] : peer.m_usage) {
        const auto known = before.find(account);
        const double earlier = known == before.end() ? 0 : known->second.m_admittedTotal;
        // A restarted VM counts from zero.
        const bool isRestarted = use.m_admittedTotal < earlier;
        const double admitted = use.m_admittedTotal - (isRestarted ? 0 : earlier);
        Bucket &bucket = bucketOf(account, now);
        // The admissions of a VM while no reports were received from it came out of the share
        // reserved for it, but nothing was reserved before its silence was detected. Without this
        // correction, an account gained additional tokens with each silence.
        bucket.m_level -= std::max(admitted - reservedSeconds * bucket.m_ratePerNode, 0.0);
    }
}

void FleetQuota::recordAdmitted(const AccountId &account, double cost, TimePoint now)
{
    Bucket &bucket = bucketOf(account, now);
    bucket.m_level -= cost;
    bucket.m_admittedTotal += cost;
}

std::map<AccountId, ReportedUsage> FleetQuota::localUsage(TimePoint now)
{
    std::map<AccountId, ReportedUsage> result;
    for (auto &[account, bucket] : m_buckets) {
        const double demand = bucket.m_demand.sum(now) / toSeconds(demandSpan);
        if (bucket.m_admittedTotal > 0 || demand > 0)
            result[account] = ReportedUsage{bucket.m_admittedTotal, demand};
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

double FleetQuota::demandOfPeers(const AccountId &account, TimePoint now) const
{
    double demand = 0;
    for (const auto &[node, peer] : m_peers) {
        const auto found = peer.m_usage.find(account);
        const bool isReachable = now - peer.m_lastReportAt <= silenceLimit();
        if (isReachable && found != peer.m_usage.end())
            demand += found->second.m_demandPerSecond;
    }
    return demand;
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
        bucket.m_filledToReachable = m_settings.m_restartedAt ? 0 : m_reachableSeconds;
    }
    return bucket;
}

void FleetQuota::fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet,
                      double rateShare, TimePoint now) const
{
    const double capacity = capacityOf(account) * fleet.reachableShare();
    if (std::exchange(bucket.m_isNew, false) && !m_settings.m_restartedAt)
        bucket.m_level += capacity;
    const double passed = toSeconds(now - std::exchange(bucket.m_filledAt, now));
    const double reachable =
            m_reachableSeconds - std::exchange(bucket.m_filledToReachable, m_reachableSeconds);
    bucket.m_ratePerNode = rateOf(account) / fleet.m_nodes;
    bucket.m_level = std::min(bucket.m_level + rateOf(account) * reachable, capacity);
    bucket.m_shareLevel =
            std::min(bucket.m_shareLevel + rateShare * passed, rateShare * accumulatedShareSeconds);
}

QuotaDecision FleetQuota::admit(const ClientAccount &account, double cost, TimePoint now)
{
    QuotaDecision decision;
    if (account.m_ratePerSecond <= 0)
        return decision;
    const Fleet fleet = advanceReachableTime(now);
    Bucket &bucket = bucketOf(account.m_id, now);
    bucket.m_demand.add(cost, now);
    const double ownDemand = bucket.m_demand.sum(now) / toSeconds(demandSpan);
    const double demand = ownDemand + demandOfPeers(account.m_id, now);
    const double share = std::max(ownDemand / demand * fleet.reachableShare(),
                                  minEvenShareFraction / fleet.m_nodes);
    const double rateShare = rateOf(account) * share;
    fill(bucket, account, fleet, rateShare, now);
    decision.m_level = bucket.m_level;
    decision.m_capacity = capacityOf(account) * fleet.reachableShare();
    decision.m_silentPeers = fleet.m_silent;
    const bool isLow = bucket.m_level - cost < lowLevelFraction * decision.m_capacity;
    if (bucket.m_level <= 0)
        decision.m_verdict = QuotaVerdict::OverLimit;
    else if (isLow && bucket.m_shareLevel <= 0)
        decision.m_verdict = QuotaVerdict::OverRateShare;
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        bucket.m_level -= cost;
        bucket.m_admittedTotal += cost;
        bucket.m_shareLevel -= isLow ? cost : 0;
        return decision;
    }
    // Based on the refill of the fleet's bucket, not of this VM's share: a caller that retries is
    // sent to another VM, and would wait too long for this one's share.
    const double missing = cost - std::min(bucket.m_level, 0.0);
    const double rate = rateOf(account) * fleet.reachableShare();
    const Duration refillTime = fromSeconds(missing / std::max(rate, 1.0));
    decision.m_retryAfter = std::clamp(refillTime, minRetryAfter, maxRetryAfter);
    return decision;
}

} // namespace gypsumdale
