#include <gypsumdale/serving/quota_ledger.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Fraction of the usage tolerated per window that is admitted. The rest covers the request that
/// empties a bucket.
constexpr double admittedFraction = 0.85;
/// Part of its capacity by which a bucket may be overdrawn before requests are refused. The bucket
/// of a new owner begins empty, and would refuse an account below its limit until it has filled.
constexpr double overdraftFraction = 0.15;
/// Minimum capacity of a bucket, in seconds of the account's rate.
constexpr double minBurstSeconds = 0.5;
/// Time without a credit after which a shard counts as taken over anew. What its buckets held is
/// dropped, as another owner has admitted it meanwhile.
constexpr Duration ownershipGap = std::chrono::seconds(3);
/// Seconds by which credits may lag behind the clock and still be added at once.
constexpr double creditLagSeconds = 0.5;
/// Credits that wait to be added: what all VMs of a large fleet have left to credit at one moment.
constexpr double maxPendingSeconds = 10;
/// Seconds of the fleet's time after which a new owner's buckets open.
constexpr double openingSeconds = 0.02;
constexpr Duration minRetryAfter = std::chrono::milliseconds(250);
constexpr Duration maxRetryAfter = std::chrono::seconds(2);

} // namespace

Duration QuotaTime::take(std::size_t shard, TimePoint now)
{
    TimePoint &until = m_creditedUntil.at(shard);
    const TimePoint next = std::max(now, until);
    return next - std::exchange(until, next);
}

void QuotaLedger::credit(std::size_t shard, Duration time, std::size_t fleetSize, TimePoint now)
{
    Shard &credited = m_shards.at(shard);
    if (now - std::exchange(credited.m_creditedAt, now) > ownershipGap)
        release(shard);
    const double vms = static_cast<double>(std::max<std::size_t>(fleetSize, 1));
    const double pending = credited.m_pendingSeconds + std::max(toSeconds(time), 0.0) / vms;
    credited.m_pendingSeconds = std::min(pending, maxPendingSeconds);
    credited.advance(now);
}

/// Adds credits as fast as the clock runs.
void QuotaLedger::Shard::advance(TimePoint now)
{
    const Duration passed = now - std::exchange(m_advancedAt, std::max(now, m_advancedAt));
    m_allowedSeconds = std::clamp(m_allowedSeconds + toSeconds(passed), 0.0, creditLagSeconds);
    const double seconds = std::min(m_pendingSeconds, m_allowedSeconds);
    m_pendingSeconds -= seconds;
    m_allowedSeconds -= seconds;
    m_seconds += seconds;
}

void QuotaLedger::release(std::size_t shard)
{
    Shard &released = m_shards.at(shard);
    released.m_ownedFromSeconds = released.m_seconds;
    released.m_pendingSeconds = 0;
}

bool QuotaLedger::Shard::isOpen() const
{
    return m_seconds - m_ownedFromSeconds >= openingSeconds;
}

double QuotaLedger::admittedPerWindow(const ClientAccount &account) const
{
    const double quota = account.m_ratePerSecond * toSeconds(m_settings.m_window) + account.m_burst;
    return admittedFraction * (quota * (1 + m_settings.m_overage) + m_settings.m_slack);
}

/// Returns what may be admitted at once: all of a window but the account's rate itself.
double QuotaLedger::capacityOf(const ClientAccount &account) const
{
    const double steady = account.m_ratePerSecond * toSeconds(m_settings.m_window);
    return std::max(admittedPerWindow(account) - steady, minBurstSeconds * account.m_ratePerSecond);
}

/// Returns the rate at which a bucket fills, so that a full bucket and the refill of a window are
/// what is admitted per window.
double QuotaLedger::rateOf(const ClientAccount &account) const
{
    const double refill = admittedPerWindow(account) - capacityOf(account);
    return std::max(refill / toSeconds(m_settings.m_window), 0.0);
}

void QuotaLedger::fill(Bucket &bucket, const Shard &shard, double rate, double capacity)
{
    if (bucket.m_filledSeconds < shard.m_ownedFromSeconds) {
        bucket.m_level = std::min(bucket.m_level, 0.0);
        bucket.m_filledSeconds = shard.m_ownedFromSeconds;
    }
    const double seconds = shard.m_seconds - std::exchange(bucket.m_filledSeconds, shard.m_seconds);
    bucket.m_level = std::min(bucket.m_level + rate * seconds, capacity);
}

QuotaDecision QuotaLedger::admit(const ClientAccount &account, double cost, TimePoint now)
{
    QuotaDecision decision;
    if (account.m_ratePerSecond <= 0)
        return decision;
    const double rate = rateOf(account);
    Bucket &bucket = m_buckets[account.m_id];
    decision.m_capacity = capacityOf(account);
    Shard &shard = m_shards.at(quotaShardOf(account.m_id));
    shard.advance(now);
    fill(bucket, shard, rate, decision.m_capacity);
    decision.m_level = bucket.m_level;
    if (bucket.m_level > -overdraftFraction * decision.m_capacity && shard.isOpen()) {
        bucket.m_level -= cost;
        return decision;
    }
    decision.m_verdict = QuotaVerdict::OverLimit;
    const auto timeToFill = [rate](double tokens) {
        return fromSeconds(tokens / std::max(rate, 1.0));
    };
    decision.m_refillTime = timeToFill(std::max(-bucket.m_level, 0.0));
    decision.m_retryAfter =
            std::clamp(timeToFill(cost - bucket.m_level), minRetryAfter, maxRetryAfter);
    return decision;
}

} // namespace gypsumdale
