#include <gypsumdale/serving/fleet_quota.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Fraction of the usage tolerated per window that is admitted. The rest is the margin for what VMs
/// admit before they receive each other's reports.
constexpr double usedPart = 0.90;
/// Reduction of that fraction for each step by which exchange intervals are stretched, and its
/// minimum.
constexpr double usedLessPerStep = 0.02;
constexpr double leastUsed = 0.58;
/// Reduction of that fraction after a restart in a large fleet, until the VM had the time to
/// receive the others' reports: what they admitted before is in no report it received, and the
/// fleet's excess before the restart is unknown.
constexpr double usedLessUnheard = 0.1;
/// Fraction of an account's burst that its bucket holds while exchange intervals are stretched. All
/// VMs see the bucket full and take from it before they receive each other's reports; the remainder
/// is added to the rate instead.
constexpr double burstKeptIfSpread = 0.5;
/// Minimum capacity, in seconds of the rate, for accounts without a burst.
constexpr double leastBurstSeconds = 0.5;
/// Fraction of the capacity below which only this VM's share of the rate is admitted. Above it, the
/// bucket still covers what all VMs admit during one exchange interval.
constexpr double lowLevel = 0.6;
/// Minimum share of the rate of a VM, as a fraction of an even share, so that a VM that saw no
/// demand can begin.
constexpr double leastShare = 0.5;
/// Seconds of its share that a VM may accumulate.
constexpr double rateRoomSeconds = 1.0;
constexpr Duration shortestReturn = std::chrono::milliseconds(250);
constexpr Duration longestReturn = std::chrono::seconds(2);

} // namespace

double FleetQuota::capacityOf(const ClientAccount &account) const
{
    const double kept = m_stretch > 1 ? burstKeptIfSpread : 1.0;
    return std::max(kept * account.m_burst, leastBurstSeconds * account.m_ratePerSecond);
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
    const bool isUnheard = m_expectedNodes > 0 && m_stretch > 1;
    const double unheard = isUnheard ? usedLessUnheard : 0;
    const double used = std::max(usedPart - usedLessPerStep * (m_stretch - 1) - unheard, leastUsed);
    return std::max((used * tolerated - capacityOf(account)) / window, 0.0);
}

void FleetQuota::setPeerUsage(const std::string &node, std::map<AccountId, ReportedUsage> uses,
                              TimePoint now)
{
    noteHeard(now);
    const auto [entry, isNew] = m_peers.try_emplace(node);
    Peer &peer = entry->second;
    const Duration silence = now - std::exchange(peer.m_heardAt, now);
    const std::map<AccountId, ReportedUsage> before = std::exchange(peer.m_uses, std::move(uses));
    if (isNew)
        return;
    const double kept = toSeconds(std::max(silence - silenceLimit(), Duration::zero()));
    for (const auto &[account, use] : peer.m_uses) {
        const auto known = before.find(account);
        const double earlier = known == before.end() ? 0 : known->second.m_admittedTotal;
        // A restarted VM counts from zero.
        const bool isRestarted = use.m_admittedTotal < earlier;
        const double used = use.m_admittedTotal - (isRestarted ? 0 : earlier);
        Bucket &bucket = bucketOf(account, now);
        // The admissions of a VM while no reports were received from it came out of the share
        // reserved for it, but nothing was reserved before its silence was detected. Without this
        // correction, an account gained additional tokens with each silence.
        bucket.m_level -= std::max(used - kept * bucket.m_rateOfOne, 0.0);
    }
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

FleetQuota::Fleet FleetQuota::lookAround(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const auto &peer) {
        return now - peer.second.m_heardAt > m_settings.m_peerRemovalTimeout;
    });
    Fleet fleet;
    const std::size_t known = m_peers.size() + 1;
    fleet.m_nodes = static_cast<double>(std::max(known, m_expectedNodes));
    fleet.m_silent = m_expectedNodes > known ? m_expectedNodes - known : 0;
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.m_heardAt > silenceLimit())
            ++fleet.m_silent;
    }
    return fleet;
}

double FleetQuota::demandOfPeers(const AccountId &account, TimePoint now) const
{
    double demand = 0;
    for (const auto &[node, peer] : m_peers) {
        const auto found = peer.m_uses.find(account);
        const bool isHeard = now - peer.m_heardAt <= silenceLimit();
        if (isHeard && found != peer.m_uses.end())
            demand += found->second.m_demandPerSecond;
    }
    return demand;
}

/// Adds the time since the last call, weighted by the share of VMs whose reports were received. The
/// part of the rate that the others may have admitted meanwhile is never refilled, also not into a
/// bucket that is used only later. Returns the fleet's current state.
FleetQuota::Fleet FleetQuota::noteHeard(TimePoint now)
{
    const Fleet fleet = lookAround(now);
    const double passed = toSeconds(now - std::exchange(m_heardUntil, now));
    m_heardSeconds += passed * fleet.heardShare();
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
        bucket.m_filledTo = m_settings.m_restartedAt ? 0 : m_heardSeconds;
    }
    return bucket;
}

void FleetQuota::fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet,
                      double ratePart, TimePoint now) const
{
    const double capacity = capacityOf(account) * fleet.heardShare();
    if (std::exchange(bucket.m_isNew, false) && !m_settings.m_restartedAt)
        bucket.m_level += capacity;
    const double passed = toSeconds(now - std::exchange(bucket.m_filledAt, now));
    const double heard = m_heardSeconds - std::exchange(bucket.m_filledTo, m_heardSeconds);
    bucket.m_rateOfOne = rateOf(account) / fleet.m_nodes;
    bucket.m_level = std::min(bucket.m_level + rateOf(account) * heard, capacity);
    bucket.m_rateRoom = std::min(bucket.m_rateRoom + ratePart * passed, ratePart * rateRoomSeconds);
}

QuotaDecision FleetQuota::admit(const ClientAccount &account, double cost, TimePoint now)
{
    QuotaDecision decision;
    if (account.m_ratePerSecond <= 0)
        return decision;
    const Fleet fleet = noteHeard(now);
    Bucket &bucket = bucketOf(account.m_id, now);
    bucket.m_demand.add(cost, now);
    const double ownDemand = bucket.m_demand.sum(now) / toSeconds(demandSpan);
    const double demand = ownDemand + demandOfPeers(account.m_id, now);
    const double share =
            std::max(ownDemand / demand * fleet.heardShare(), leastShare / fleet.m_nodes);
    const double ratePart = rateOf(account) * share;
    fill(bucket, account, fleet, ratePart, now);
    decision.m_level = bucket.m_level;
    decision.m_capacity = capacityOf(account) * fleet.heardShare();
    decision.m_silentPeers = fleet.m_silent;
    const bool isLow = bucket.m_level - cost < lowLevel * decision.m_capacity;
    if (bucket.m_level <= 0)
        decision.m_verdict = QuotaVerdict::OverLimit;
    else if (isLow && bucket.m_rateRoom <= 0)
        decision.m_verdict = QuotaVerdict::OverRateShare;
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        bucket.m_level -= cost;
        bucket.m_admittedTotal += cost;
        bucket.m_rateRoom -= isLow ? cost : 0;
        return decision;
    }
    // Based on the refill of the fleet's bucket, not of this VM's share: a caller that retries is
    // sent to another VM, and would wait too long for this one's share.
    const double missing = cost - std::min(bucket.m_level, 0.0);
    const double rate = rateOf(account) * fleet.heardShare();
    const Duration refillTime = fromSeconds(missing / std::max(rate, 1.0));
    decision.m_retryAfter = std::clamp(refillTime, shortestReturn, longestReturn);
    return decision;
}

} // namespace gypsumdale
