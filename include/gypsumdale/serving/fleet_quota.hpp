#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/serving_config.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

struct FleetQuotaSettings
{
    /// Span over which the users count an account's use, and what they tolerate beyond its quota
    /// in that: a part of it, and a constant in the quota's unit.
    Duration m_window = std::chrono::seconds(8);
    double m_overage = 0.1;
    double m_slack = 0;
    /// A report older than this is no word of its VM: three exchanges were lost.
    Duration m_peerSilenceTimeout = std::chrono::milliseconds(800);
    /// How often a pair of VMs exchanges reports in a small fleet.
    Duration m_exchangeInterval = std::chrono::milliseconds(250);
    /// A silent VM's part is given back after this; by then it has been replaced.
    Duration m_peerRemovalTimeout = std::chrono::seconds(20);
    /// When the process started, if its VM had started before: the use before that is unknown, and
    /// the buckets were empty at that moment.
    std::optional<TimePoint> m_restartedAt;
};

/// Use of one account as another VM reported it.
struct ReportedUsage
{
    /// Everything admitted since the VM's start, in the quota's unit.
    double m_admittedTotal = 0;
    double m_demandPerSecond = 0;
};

enum class QuotaVerdict {
    Admitted,
    /// The account's bucket over all VMs is empty.
    OverLimit,
    /// The bucket is low, and this VM's part of the rate is used up.
    OverRateShare,
};

inline constexpr NameTable<QuotaVerdict, 3> quotaVerdictNames = {{
        {QuotaVerdict::Admitted, "admitted"},
        {QuotaVerdict::OverLimit, "over-limit"},
        {QuotaVerdict::OverRateShare, "over-rate-share"},
}};

/// What a quota decision was based on, for the log.
struct QuotaDecision
{
    QuotaVerdict m_verdict = QuotaVerdict::Admitted;
    /// What was left in the account's bucket, and what it holds.
    double m_level = 0;
    double m_capacity = 0;
    std::size_t m_silentPeers = 0;
    /// When to come back, where it was refused.
    Duration m_retryAfter{};
};

/// Holds each account to its quota over all entry VMs without asking any of them: every VM keeps a
/// token bucket for the whole fleet, from which it takes its own use and what the others report.
///
/// Three failures shaped it. Reports are up to an exchange old, and all VMs see the same tokens:
/// while the bucket is low, each admits only its part of the rate, and what was admitted too much
/// is a debt that is waited for. A partition leaves each side alone: a side fills its bucket only
/// by the part of the VMs that it hears, so that the sides together fill it once; what the others
/// admitted before their silence showed is taken off when they are heard again. A restart forgets
/// the use before it: the bucket is empty then, and fills from that moment on. When all VMs restart
/// at once none knows of another, and each would take the whole rate for its own: VMs that are
/// expected and were not heard yet count as silent.
class FleetQuota
{
public:
    explicit FleetQuota(FleetQuotaSettings settings)
        : m_settings(settings)
        , m_heardUntil(settings.m_restartedAt.value_or(TimePoint{}))
    {}

    /// Decides one request of a cost and counts it if it is admitted. Linear in the peers.
    QuotaDecision admit(const ClientAccount &account, double cost, TimePoint now);

    /// Replaces what one other VM reported. Linear in its accounts.
    void setPeerUsage(const std::string &node, std::map<AccountId, ReportedUsage> uses,
                      TimePoint now);

    /// Takes in by how much exchanges are spread out in a large fleet: silence is judged by it, and
    /// more is kept for what is admitted between two of them. 1 in a small fleet.
    void setExchangeStretch(int stretch) { m_stretch = stretch; }

    /// Says how many VMs the fleet has by the registry, for a process that has not heard them yet;
    /// 0 once it had the time to.
    void setExpectedFleetSize(std::size_t nodes) { m_expectedNodes = nodes; }

    /// Returns the own use to report. Linear in the accounts.
    std::map<AccountId, ReportedUsage> localUsage(TimePoint now);

private:
    struct Bucket
    {
        double m_level = 0;
        double m_admittedTotal = 0;
        SlidingSum m_demand{demandSpan};
        /// What is left of this VM's part of the rate, for when the bucket is low.
        double m_rateRoom = 0;
        /// The rate that is kept for each VM that is silent.
        double m_rateOfOne = 0;
        TimePoint m_filledAt{};
        /// The seconds heard up to which it was filled.
        double m_filledTo = 0;
        bool m_isNew = true;
    };
    struct Peer
    {
        std::map<AccountId, ReportedUsage> m_uses;
        TimePoint m_heardAt{};
    };
    /// What the fleet looks like from here.
    struct Fleet
    {
        double m_nodes = 1;
        std::size_t m_silent = 0;

        double heardShare() const { return (m_nodes - static_cast<double>(m_silent)) / m_nodes; }
    };

    /// Demand is averaged over this: long enough for clumps, short enough for a rush.
    static constexpr Duration demandSpan = std::chrono::seconds(3);

    Fleet lookAround(TimePoint now);
    double demandOfPeers(const AccountId &account, TimePoint now) const;
    Fleet noteHeard(TimePoint now);
    Bucket &bucketOf(const AccountId &account, TimePoint now);
    double capacityOf(const ClientAccount &account) const;
    double rateOf(const ClientAccount &account) const;
    void fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet, double ratePart,
              TimePoint now) const;

    /// A peer is silent when its turn is over by as much as in a small fleet. Three lost turns, as
    /// once waited for, are 5.6 s in a fleet of 80: VMs that were cut off took the others for heard
    /// that long and admitted the fleet's rate each. One turn that is lost on its way counts a VM
    /// as silent until the next, which refuses a little.
    Duration silenceLimit() const
    {
        return m_settings.m_peerSilenceTimeout + m_settings.m_exchangeInterval * (m_stretch - 1);
    }

    FleetQuotaSettings m_settings;
    int m_stretch = 1;
    std::size_t m_expectedNodes = 0;
    std::map<AccountId, Bucket> m_buckets;
    std::map<std::string, Peer> m_peers;
    /// The time, each moment counted by the part of the VMs that was heard then.
    double m_heardSeconds = 0;
    TimePoint m_heardUntil;
};

} // namespace gypsumdale
