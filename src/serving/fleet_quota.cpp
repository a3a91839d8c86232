#include <gypsumdale/serving/fleet_quota.hpp>

#include <algorithm> // clamp, max, min
#include <utility> // move

namespace gypsumdale {

namespace {

/// Part of the limit up to which requests are admitted as they come; above it, by rate. What the
/// fleet admits during one exchange must fit between this and the hard limit.
constexpr double nearFull = 0.7;
/// Part of the limit that is never exceeded by what this VM knows. The users tolerate a tenth over
/// the limit; this leaves that and a bit more for what was admitted and not reported yet.
constexpr double hardLimit = 0.93;
/// A VM's part of the rate is at least this part of an even share, so that one which saw no demand
/// can begin.
constexpr double leastShare = 0.5;
/// Room of the rate share that may be saved up.
constexpr double rateRoomSeconds = 0.5;
constexpr Duration shortestReturn = std::chrono::milliseconds(250);
constexpr Duration longestReturn = std::chrono::seconds(2);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FleetQuota::FleetQuota(FleetQuotaSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{}

FleetQuota::OwnUse &FleetQuota::ownUseOf(const AccountId &account)
{
    return m_own.try_emplace(account, m_settings.m_window).first->second;
}

void FleetQuota::setPeerUse(const std::string &node, std::map<AccountId, ReportedUse> uses,
                            TimePoint now)
{
    m_peers[node] = Peer{std::move(uses), now};
}

std::map<AccountId, ReportedUse> FleetQuota::ownUse(TimePoint now)
{
    std::map<AccountId, ReportedUse> result;
    for (auto &[account, own] : m_own) {
        const double demand = own.m_demand.sum(now) / toSeconds(demandSpan);
        const double admitted = own.m_admitted.sum(now);
        if (demand > 0 || admitted > 0)
            result[account] = ReportedUse{admitted, demand};
    }
    return result;
}

/// Sums what is known over all VMs. A report is carried on by its rate until the next one comes; a
/// VM that is not heard counts with its reserve or its last word, whichever is more.
FleetQuota::Estimate FleetQuota::estimate(const AccountId &account, double limit, TimePoint now)
{
    Estimate result;
    std::erase_if(m_peers, [this, now](const auto &peer) {
        return now - peer.second.m_heardAt > m_settings.m_peerForgotten;
    });
    const double reserve = limit / static_cast<double>(m_peers.size() + 1);
    for (const auto &[node, peer] : m_peers) {
        const auto found = peer.m_uses.find(account);
        const ReportedUse use = found == peer.m_uses.end() ? ReportedUse{} : found->second;
        const Duration age = now - peer.m_heardAt;
        if (age > m_settings.m_peerSilence) {
            ++result.m_silent;
            const double left = std::max(0.0, 1.0 - toSeconds(age) / toSeconds(m_settings.m_window));
            result.m_used += std::max(reserve, use.m_admitted * left);
            continue;
        }
        result.m_used += use.m_admitted;
        result.m_demand += use.m_demandPerSecond;
    }
    OwnUse &own = ownUseOf(account);
    result.m_used += own.m_admitted.sum(now);
    result.m_demand += own.m_demand.sum(now) / toSeconds(demandSpan);
    return result;
}

void FleetQuota::refill(OwnUse &own, double ratePart, TimePoint now) const
{
    const Duration passed = own.m_filledAt == TimePoint{} ? Duration::zero() : now - own.m_filledAt;
    own.m_filledAt = now;
    own.m_rateRoom = std::min(own.m_rateRoom + ratePart * toSeconds(passed),
                              ratePart * rateRoomSeconds);
}

QuotaDecision FleetQuota::admit(const ClientAccount &account, double cost, TimePoint now)
{
    QuotaDecision decision;
    if (account.m_ratePerSecond <= 0)
        return decision;
    OwnUse &own = ownUseOf(account.m_id);
    own.m_demand.add(cost, now);
    const double limit =
            account.m_ratePerSecond * toSeconds(m_settings.m_window) + account.m_burst;
    const Estimate known = estimate(account.m_id, limit, now);
    decision.m_used = known.m_used;
    decision.m_limit = limit;
    decision.m_silentPeers = known.m_silent;
    const double nodes = static_cast<double>(m_peers.size() + 1);
    const double ownDemand = own.m_demand.sum(now) / toSeconds(demandSpan);
    const double demandShare = known.m_demand > 0 ? ownDemand / known.m_demand : 1.0;
    const double heardShare = (nodes - static_cast<double>(known.m_silent)) / nodes;
    const double share = std::max(demandShare * heardShare, leastShare / nodes);
    const double ratePart = account.m_ratePerSecond * std::min(share, 1.0);
    refill(own, ratePart, now);
    const bool isCautious =
            m_settings.m_beginsCautiously && now < m_startedAt + m_settings.m_window;
    const bool isNearFull = known.m_used + cost > nearFull * limit;
    if (known.m_used + cost > hardLimit * limit)
        decision.m_verdict = QuotaVerdict::OverLimit;
    else if ((isNearFull || isCautious) && own.m_rateRoom <= 0)
        decision.m_verdict = QuotaVerdict::OverRateShare;
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        own.m_admitted.add(cost, now);
        if (isNearFull || isCautious)
            own.m_rateRoom -= cost;
        return decision;
    }
    const double missing = std::max(cost, cost - own.m_rateRoom);
    const Duration refillTime = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(missing / std::max(ratePart, 1.0)));
    decision.m_retryAfter = std::clamp(refillTime, shortestReturn, longestReturn);
    return decision;
}

} // namespace gypsumdale
