#include <gypsumdale/policy/slot_share.hpp>

#include <algorithm> // max, min, upper_bound
#include <cmath> // floor
#include <iterator> // distance, prev

namespace gypsumdale {

std::uint32_t evenSlotShare(std::uint32_t slots, std::uint32_t nodes, std::uint32_t rank)
{
    if (nodes == 0)
        return slots;
    const std::uint32_t even = slots / nodes;
    return rank < slots % nodes ? even + 1 : even;
}

std::uint32_t peerCharge(const SlotShareSettings &settings, std::uint32_t reported,
                         std::uint32_t lent)
{
    const double reserve = std::floor(settings.m_peerReserve * lent);
    return std::max(reported, static_cast<std::uint32_t>(reserve));
}

bool canDispatch(const SlotView &view)
{
    const std::uint32_t lent = evenSlotShare(view.m_slots, view.m_nodes, view.m_rank);
    if (view.m_own < lent)
        return true;
    const std::uint32_t heard = std::min(view.m_own, view.m_ownMinimum);
    const std::uint64_t known = std::uint64_t{heard} + view.m_peers;
    if (lent == 0 && view.m_own == 0 && known < view.m_slots)
        return true;
    const std::uint64_t unseen = std::uint64_t{view.m_nodes} * (view.m_own - heard + 1);
    return known + unseen <= view.m_slots;
}

std::uint32_t overshootBound(const SlotShareSettings &settings, std::uint32_t slots,
                             std::uint32_t nodes)
{
    std::uint32_t bound = 0;
    for (std::uint32_t rank = 0; rank + 1 < nodes; ++rank) {
        const std::uint32_t lent = evenSlotShare(slots, nodes, rank);
        bound += lent - std::min(lent, peerCharge(settings, 0, lent));
    }
    const std::uint32_t withoutSlot = nodes - std::min(nodes, slots);
    return bound + withoutSlot;
}

void InFlightHistory::note(TimePoint now, std::uint32_t inFlight, Duration keep)
{
    // What came before and was no less can't be the least of any time that reaches up to now.
    Least least{now, inFlight};
    while (!m_leasts.empty() && m_leasts.back().m_inFlight >= inFlight) {
        least.m_since = m_leasts.back().m_since;
        m_leasts.pop_back();
    }
    m_leasts.push_back(least);
    // The last one before the time kept tells how many there were at its beginning.
    while (m_leasts.size() > 1 && m_leasts[1].m_since <= now - keep)
        m_leasts.pop_front();
}

std::uint32_t InFlightHistory::minimumSince(TimePoint since) const
{
    const auto later = std::ranges::upper_bound(m_leasts, since, {}, &Least::m_since);
    return later == m_leasts.begin() ? 0 : std::prev(later)->m_inFlight;
}

void RecentDispatches::add(TimePoint now, Duration keep)
{
    while (!m_times.empty() && m_times.front() <= now - keep)
        m_times.pop_front();
    m_times.push_back(now);
}

std::uint32_t RecentDispatches::countAfter(TimePoint since) const
{
    const auto first = std::upper_bound(m_times.begin(), m_times.end(), since);
    return static_cast<std::uint32_t>(std::distance(first, m_times.end()));
}

} // namespace gypsumdale
