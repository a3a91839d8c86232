#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/fleet_quota_demand.hpp>
#include <gypsumdale/serving/fleet_quota_returns.hpp>
#include <gypsumdale/serving/quota_allocation.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

struct FleetQuotaSettings
{
    /// Window over which users measure an account's usage, and the excess over the quota that they
    /// tolerate within it: a fraction of the quota, and a constant in the quota's unit.
    Duration m_window = std::chrono::seconds(8);
    double m_overage = 0.1;
    double m_slack = 0;
    /// Age from which a report no longer counts for its VM; at this age three exchanges were lost.
    Duration m_peerSilenceTimeout = std::chrono::milliseconds(800);
    /// Interval at which a pair of VMs exchanges reports in a small fleet.
    Duration m_exchangeInterval = std::chrono::milliseconds(250);
    /// Time after which a silent VM's share is released; by then it has been replaced.
    Duration m_peerRemovalTimeout = std::chrono::seconds(20);
    /// Start time of the process, if its VM had started before. The usage before it is unknown, so
    /// the buckets were empty at that moment.
    std::optional<TimePoint> m_restartedAt;
};

/// Usage of one account as another VM reported it.
struct ReportedUsage
{
    /// Everything admitted since the VM's start, in the quota's unit.
    double m_admittedTotal = 0;
    double m_demandPerSecond = 0;
    /// The part of the demand of each priority class, the most urgent first; empty while the
    /// account is within its quota.
    std::vector<double> m_demandByPriority{};
};

enum class QuotaVerdict {
    Admitted,
    /// The account's fleet-wide bucket is in debt by more than its capacity.
    OverLimit,
    /// The demand exceeds what the bucket covers, and the fraction of the request's priority class
    /// that is admitted is used up.
    OverRateShare,
};

inline constexpr NameTable<QuotaVerdict, 3> quotaVerdictNames = {{
        {QuotaVerdict::Admitted, "admitted"},
        {QuotaVerdict::OverLimit, "over-limit"},
        {QuotaVerdict::OverRateShare, "over-rate-share"},
}};

/// Inputs and result of a quota decision, for the log.
struct QuotaDecision
{
    QuotaVerdict m_verdict = QuotaVerdict::Admitted;
    /// Remaining tokens of the account's bucket, and its capacity.
    double m_level = 0;
    double m_capacity = 0;
    std::size_t m_silentPeers = 0;
    /// Fraction of the request's priority class that is admitted, and the reason for it.
    double m_fraction = 1;
    AllocationReason m_allocation = AllocationReason::WithinQuota;
    /// The fleet's estimated demand and the budget for it, in quota units per second.
    double m_demand = 0;
    double m_budget = 0;
    /// Retry delay of a refused request.
    Duration m_retryAfter{};
};

/// Enforces each account's quota over all entry VMs without a call to any of them. Every VM keeps a
/// token bucket for the whole fleet, from which it takes its own usage and the usage that others
/// report.
///
/// The design handles three failures. (1) Reports are up to one exchange old, and all VMs see the
/// same tokens. While the bucket is low, each VM admits only its share of the rate, and excess
/// admissions are a debt that has to be refilled first. (2) A partition isolates each side. A side
/// fills its bucket only by the share of the VMs from which it receives reports, so that all sides
/// together fill it once; what the others admitted before their silence was detected is subtracted
/// when their reports arrive again. (3) A restart loses the usage before it. The bucket is empty
/// then, and fills from that moment on. When all VMs restart at once, none knows of another, and
/// each would use the whole rate; therefore VMs that are expected and have not reported yet count
/// as silent.
class FleetQuota
{
public:
    explicit FleetQuota(FleetQuotaSettings settings)
        : m_settings(settings)
        , m_reachableUntil(settings.m_restartedAt.value_or(TimePoint{}))
    {}

    /// Decides one request of a priority and a cost, and counts it if it is admitted. Complexity:
    /// linear in the peers.
    QuotaDecision admit(const ClientAccount &account, int priority, double cost, TimePoint now);

    /// Decides a request of the least urgent class.
    QuotaDecision admit(const ClientAccount &account, double cost, TimePoint now)
    {
        return admit(account, static_cast<int>(quotaClasses) - 1, cost, now);
    }

    /// Replaces the usage that one other VM reported. Complexity: linear in its accounts.
    void setPeerUsage(const std::string &node, std::map<AccountId, ReportedUsage> uses,
                      TimePoint now);

    /// Sets the factor by which exchange intervals grow in a large fleet; 1 in a small fleet. It
    /// raises the silence timeout and the reserve for admissions between two exchanges.
    void setExchangeStretch(int stretch) { m_stretch = stretch; }

    /// Sets the number of VMs that the registry lists, for a process that has not received their
    /// reports yet; 0 once it had the time to.
    void setExpectedFleetSize(std::size_t nodes) { m_expectedNodes = nodes; }

    /// Returns this VM's usage for its report. Complexity: linear in the accounts.
    std::map<AccountId, ReportedUsage> localUsage(TimePoint now);

private:
    static ByQuotaClass noCredit()
    {
        ByQuotaClass credit;
        credit.fill(-1);
        return credit;
    }

    struct Bucket
    {
        double m_level = 0;
        /// The level with what the peers are estimated to have admitted since their reports.
        double m_estimate = 0;
        double m_admittedTotal = 0;
        AccountDemand m_demand;
        ReturnSchedule m_returns;
        /// What this VM admitted beyond its share of the rate.
        double m_excess = 0;
        /// Estimated amount that a peer has admitted since the start for each unit per second of
        /// its reported demand.
        double m_admittedSeconds = 0;
        /// Fraction of the demand that is admitted, and the present demand of the peers in
        /// proportion to what they reported.
        double m_admittedFraction = 1;
        double m_growth = 1;
        double m_peersDemand = 0;
        /// Accumulated fraction of each class; negative before its first restricted request.
        ByQuotaClass m_credit = noCredit();
        TimePoint m_overUntil{};
        /// Rate that is reserved for each silent VM.
        double m_ratePerNode = 0;
        TimePoint m_filledAt{};
        TimePoint m_estimatedAt{};
        /// Value of `m_reachableSeconds` up to which the bucket was filled.
        double m_filledToReachable = 0;
        bool m_isNew = true;
    };
    /// What is kept of an account between two reports of a peer.
    struct AccountTrack
    {
        /// Value of the account's `m_admittedSeconds` at the last report.
        double m_admittedSeconds = 0;
        /// The peer's usual part of the account's demand.
        double m_part = 0;
        bool m_isNew = true;
    };
    struct Peer
    {
        std::map<AccountId, ReportedUsage> m_usage;
        std::map<AccountId, AccountTrack> m_tracks;
        TimePoint m_lastReportAt{};
    };
    /// The fleet as this VM sees it.
    struct Fleet
    {
        double m_nodes = 1;
        std::size_t m_silent = 0;

        double reachableShare() const
        {
            return (m_nodes - static_cast<double>(m_silent)) / m_nodes;
        }
    };

    /// What the reachable peers reported of one account, and what this VM concludes from it.
    struct Outlook
    {
        ByQuotaClass m_peersByClass{};
        DemandEstimate m_estimate;
        /// This VM's share of the rate, of which silent VMs have a part.
        double m_share = 1;
    };

    Fleet observeFleet(TimePoint now);
    Outlook observeDemand(Bucket &bucket, const AccountId &account, const Fleet &fleet,
                          TimePoint now) const;
    QuotaAllocation allocate(Bucket &bucket, const ClientAccount &account, const Fleet &fleet,
                             const Outlook &outlook, TimePoint now) const;
    void setUsage(Peer &peer, const AccountId &account, const ReportedUsage &use,
                  const ReportedUsage &before, double reservedSeconds, TimePoint now);
    void addSample(Peer &peer, const AccountId &account, Bucket &bucket, TimePoint now);
    Fleet advanceReachableTime(TimePoint now);
    Bucket &bucketOf(const AccountId &account, TimePoint now);
    double capacityOf(const ClientAccount &account) const;
    double rateOf(const ClientAccount &account) const;
    void fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet,
              TimePoint now) const;
    Duration returnDelay(Bucket &bucket, const ClientAccount &account, std::size_t quotaClass,
                         double cost, const Fleet &fleet, double share, TimePoint now) const;
    static bool takeTurn(Bucket &bucket, std::size_t quotaClass, double fraction);
    static void assumeExcess(Bucket &bucket, double level);
    static void advanceEstimate(Bucket &bucket, TimePoint now);
    Duration reportInterval() const { return m_settings.m_exchangeInterval * m_stretch; }

    /// Returns the age from which a peer counts as silent: its report is overdue by as much as in a
    /// small fleet. A timeout of three missed reports would be 5.6 s in a fleet of 80; VMs that
    /// were cut off then counted the others as reachable for that long, and each admitted the
    /// fleet's whole rate. A single lost report makes a VM count as silent until its next one,
    /// which refuses few requests.
    Duration silenceLimit() const
    {
        return m_settings.m_peerSilenceTimeout + m_settings.m_exchangeInterval * (m_stretch - 1);
    }

    FleetQuotaSettings m_settings;
    int m_stretch = 1;
    std::size_t m_expectedNodes = 0;
    std::map<AccountId, Bucket> m_buckets;
    std::map<std::string, Peer> m_peers;
    /// Elapsed time, weighted at each moment by the share of VMs whose reports were received.
    double m_reachableSeconds = 0;
    TimePoint m_reachableUntil;
};

} // namespace gypsumdale
