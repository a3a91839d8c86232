#include <gypsumdale/policy/token_counters.hpp>

#include <algorithm> // max, min

namespace gypsumdale {

namespace {

constexpr double minWeight = 0.001;

} // namespace

void TokenCounters::setWeight(const MemberId &member, double weight)
{
    m_members[member].m_weight = std::max(weight, minWeight);
}

double TokenCounters::weight(const MemberId &member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? 1.0 : found->second.m_weight;
}

void TokenCounters::charge(const MemberId &member, std::uint64_t tokens)
{
    Member &entry = m_members[member];
    const std::uint64_t deducted = std::min(tokens, entry.m_overcharged);
    entry.m_overcharged -= deducted;
    m_own[member] += tokens - deducted;
    add(member, tokens - deducted);
    if (m_factor <= 1.0)
        return;
    entry.m_recent += tokens - deducted;
    m_recentCharges.push_back({m_now, member, tokens - deducted});
}

void TokenCounters::correctCharge(const MemberId &member, std::uint64_t charged,
                                  std::uint64_t actual)
{
    if (actual >= charged) {
        charge(member, actual - charged);
        return;
    }
    m_members[member].m_overcharged += charged - actual;
}

void TokenCounters::mergePeer(const NodeId &peer, std::uint64_t incarnation,
                              const TokenCounts &counts)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    Peer &known = found->second;
    if (isNew) {
        known = Peer{incarnation, counts};
        return;
    }
    if (incarnation < known.m_incarnation)
        return;
    if (incarnation > known.m_incarnation)
        known = Peer{incarnation, {}};
    for (const auto &[member, total] : counts) {
        std::uint64_t &seen = known.m_counts[member];
        if (total <= seen)
            continue;
        add(member, total - seen);
        seen = total;
    }
}

void TokenCounters::raiseService(const MemberId &member, double service)
{
    const double missing = service - this->service(member);
    if (missing > 0.0)
        m_members[member].m_service += missing;
}

double TokenCounters::service(const MemberId &member) const
{
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return 0.0;
    const Member &entry = found->second;
    const double extrapolated = (m_factor - 1.0) * static_cast<double>(entry.m_recent);
    return entry.m_service + extrapolated / entry.m_weight;
}

void TokenCounters::setExtrapolation(double factor, Duration span)
{
    m_factor = std::max(factor, 1.0);
    m_span = span;
}

void TokenCounters::advance(TimePoint now)
{
    m_now = std::max(m_now, now);
    while (!m_recentCharges.empty() && m_recentCharges.front().m_at + m_span <= m_now) {
        const Charge &oldest = m_recentCharges.front();
        m_members[oldest.m_member].m_recent -= oldest.m_tokens;
        m_recentCharges.pop_front();
    }
}

void TokenCounters::addOffset(const MemberId &member, double service)
{
    m_members[member].m_service += service;
}

void TokenCounters::add(const MemberId &member, std::uint64_t tokens)
{
    Member &entry = m_members[member];
    entry.m_service += static_cast<double>(tokens) / entry.m_weight;
    m_highest = std::max(m_highest, entry.m_service);
}

} // namespace gypsumdale
