#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/serving_config.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

struct FleetQuotaSettings
{
    /// Span over which the users count an account's use.
    Duration m_window = std::chrono::seconds(8);
    /// A report older than this is no word of its VM: four exchanges were lost.
    Duration m_peerSilence = std::chrono::milliseconds(1200);
    /// A silent VM's reserve is given back after this; by then it has been replaced.
    Duration m_peerForgotten = std::chrono::seconds(20);
    /// After a restart the use of the window before is unknown, and only the rate is admitted.
    bool m_beginsCautiously = false;
};

/// Use of one account as another VM reported it.
struct ReportedUse
{
    double m_admitted = 0;
    double m_demandPerSecond = 0;
};

enum class QuotaVerdict {
    Admitted,
    /// The account's use over all VMs has reached its limit.
    OverLimit,
    /// Near the limit, this VM's part of the rate is used up.
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
    double m_used = 0;
    double m_limit = 0;
    std::size_t m_silentPeers = 0;
    /// When to come back, where it was refused.
    Duration m_retryAfter{};
};

/// Holds each account to its quota over all entry VMs without asking any of them: a sliding window
/// over the own use and what the others reported.
///
/// Three failures shaped it. Reports are up to an exchange old, and all VMs see the same room:
/// above nearFull of the limit each admits only its part of the account's rate, so the overshoot
/// is what comes in during one exchange. A partition leaves each side alone: an even share of the
/// limit is reserved for every VM that is not heard, so that the sides together stay below the
/// limit. A restart forgets the use before it: for one window only the rate's part is admitted.
class FleetQuota
{
public:
    explicit FleetQuota(FleetQuotaSettings settings, TimePoint startedAt);

    /// Decides one request of a cost and counts it if it is admitted. Linear in the peers.
    QuotaDecision admit(const ClientAccount &account, double cost, TimePoint now);

    /// Replaces what one other VM reported. Linear in its accounts.
    void setPeerUse(const std::string &node, std::map<AccountId, ReportedUse> uses, TimePoint now);

    /// Returns the own use to report. Linear in the accounts.
    std::map<AccountId, ReportedUse> ownUse(TimePoint now);

private:
    struct OwnUse
    {
        explicit OwnUse(Duration window)
            : m_admitted(window)
            , m_demand(demandSpan)
        {}
        SlidingSum m_admitted;
        SlidingSum m_demand;
        /// What is left of this VM's part of the rate, used near the limit only.
        double m_rateRoom = 0;
        TimePoint m_filledAt{};
    };
    struct Peer
    {
        std::map<AccountId, ReportedUse> m_uses;
        TimePoint m_heardAt{};
    };
    struct Estimate
    {
        double m_used = 0;
        double m_demand = 0;
        std::size_t m_silent = 0;
    };

    /// Demand is averaged over this: long enough for clumps, short enough for a rush.
    static constexpr Duration demandSpan = std::chrono::seconds(3);

    OwnUse &ownUseOf(const AccountId &account);
    Estimate estimate(const AccountId &account, double limit, TimePoint now);
    void refill(OwnUse &own, double ratePart, TimePoint now) const;

    FleetQuotaSettings m_settings;
    TimePoint m_startedAt;
    std::map<AccountId, OwnUse> m_own;
    std::map<std::string, Peer> m_peers;
};

} // namespace gypsumdale
