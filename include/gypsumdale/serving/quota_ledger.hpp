#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/fleet_quota.hpp>
#include <gypsumdale/serving/quota_owners.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <array> // array
#include <cstddef> // size_t
#include <map> // map

namespace gypsumdale {

/// The time that this VM has not yet credited to the owners of the shards.
///
/// Each VM stands for an even share of every account's rate, for each moment since its start. It
/// credits a moment to one owner only, so that no moment is used twice: not if VMs disagree about
/// who owns a shard, not while the fleet is partitioned, and not by a process that has just
/// started. Time that is credited in a message which is lost isn't credited again.
class QuotaTime
{
public:
    explicit QuotaTime(TimePoint startedAt) { m_creditedUntil.fill(startedAt); }

    /// Returns the time of a shard that wasn't credited yet, which counts as credited from now on.
    Duration take(std::size_t shard, TimePoint now);
    /// Takes back time that the receiver has not accepted.
    void giveBack(std::size_t shard, Duration time) { m_creditedUntil.at(shard) -= time; }

private:
    std::array<TimePoint, quotaShardCount> m_creditedUntil;
};

/// The token buckets of the accounts whose quota this VM decides for the whole fleet.
///
/// A bucket is filled only by the time that VMs credit, each at its even share of the rate, and
/// begins empty. Two VMs that take themselves for the owner therefore fill their buckets by
/// different parts of the rate. A VM from which nothing is received adds nothing. No bucket fills
/// faster than the account's rate: in a large fleet VMs credit the time of several seconds at once,
/// which all asks of a rush would bring together. As a request may
/// exceed its bucket, buckets open only once a fiftieth of a second of the whole fleet was
/// credited: otherwise hundreds of VMs that have just started would admit one request each.
class QuotaLedger
{
public:
    explicit QuotaLedger(const FleetQuotaSettings &settings)
        : m_settings(settings)
    {}

    /// Adds time that one of the fleet's VMs credits to a shard. Complexity: constant.
    void credit(std::size_t shard, Duration time, std::size_t fleetSize, TimePoint now);

    /// Drops what the buckets of a shard hold, as another VM owns it.
    void release(std::size_t shard);

    /// Decides one request of a cost, and counts it if it is admitted. The request that empties a
    /// bucket may exceed it; what it took too much has to be refilled first. Complexity:
    /// logarithmic in the number of accounts.
    QuotaDecision admit(const ClientAccount &account, double cost, TimePoint now);

private:
    struct Shard
    {
        /// Seconds of the whole fleet's time that were credited.
        double m_seconds = 0;
        /// Value of `m_seconds` when this VM last became the owner.
        double m_ownedFromSeconds = 0;
        TimePoint m_creditedAt{};
        /// Credits that are not added yet, as they would run ahead of the clock.
        double m_pendingSeconds = 0;
        /// Seconds that may be added now.
        double m_allowedSeconds = 0;
        TimePoint m_advancedAt{};

        bool isOpen() const;
        void advance(TimePoint now);
    };
    struct Bucket
    {
        double m_level = 0;
        /// Seconds of the shard that have been added to the bucket.
        double m_filledSeconds = 0;
    };

    double admittedPerWindow(const ClientAccount &account) const;
    double capacityOf(const ClientAccount &account) const;
    double rateOf(const ClientAccount &account) const;
    static void fill(Bucket &bucket, const Shard &shard, double rate, double capacity);

    FleetQuotaSettings m_settings;
    std::array<Shard, quotaShardCount> m_shards;
    std::map<AccountId, Bucket> m_buckets;
};

} // namespace gypsumdale
