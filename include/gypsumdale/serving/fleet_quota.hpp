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
};

enum class QuotaVerdict {
    Admitted,
    /// The account's fleet-wide bucket is empty.
    OverLimit,
    /// The bucket is low, and this VM's share of the rate is used up.
    OverRateShare,
    /// No VM that decides for the account could be reached.
    OwnerUnknown,
};

inline constexpr NameTable<QuotaVerdict, 4> quotaVerdictNames = {{
        {QuotaVerdict::Admitted, "admitted"},
        {QuotaVerdict::OverLimit, "over-limit"},
        {QuotaVerdict::OverRateShare, "over-rate-share"},
        {QuotaVerdict::OwnerUnknown, "quota-owner-unknown"},
}};

/// Inputs and result of a quota decision, for the log.
struct QuotaDecision
{
    QuotaVerdict m_verdict = QuotaVerdict::Admitted;
    /// Remaining tokens of the account's bucket, and its capacity.
    double m_level = 0;
    double m_capacity = 0;
    std::size_t m_silentPeers = 0;
    /// Retry delay of a refused request.
    Duration m_retryAfter{};
    /// Time until the bucket of a refused request is no longer empty; 0 where it isn't known.
    Duration m_refillTime{};
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

    /// Decides one request of a cost, and counts it if it is admitted. Complexity: linear in the
    /// peers.
    QuotaDecision admit(const ClientAccount &account, double cost, TimePoint now);

    /// Counts a request that another VM has admitted for a caller of this one. Complexity:
    /// logarithmic in the number of accounts.
    void recordAdmitted(const AccountId &account, double cost, TimePoint now);

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
    struct Bucket
    {
        double m_level = 0;
        double m_admittedTotal = 0;
        SlidingSum m_demand{demandSpan};
        /// Remaining part of this VM's share of the rate, used while the bucket is low.
        double m_shareLevel = 0;
        /// Rate that is reserved for each silent VM.
        double m_ratePerNode = 0;
        TimePoint m_filledAt{};
        /// Value of `m_reachableSeconds` up to which the bucket was filled.
        double m_filledToReachable = 0;
        bool m_isNew = true;
    };
    struct Peer
    {
        std::map<AccountId, ReportedUsage> m_usage;
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

    /// Averaging span of the demand: long enough to smooth clusters of requests, short enough to
    /// follow a burst.
    static constexpr Duration demandSpan = std::chrono::seconds(3);

    Fleet observeFleet(TimePoint now);
    double demandOfPeers(const AccountId &account, TimePoint now) const;
    Fleet advanceReachableTime(TimePoint now);
    Bucket &bucketOf(const AccountId &account, TimePoint now);
    double capacityOf(const ClientAccount &account) const;
    double rateOf(const ClientAccount &account) const;
    void fill(Bucket &bucket, const ClientAccount &account, const Fleet &fleet, double rateShare,
              TimePoint now) const;

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
