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
                         std::uint32_t evenShare)
{
    const double reserve = std::floor(settings.m_peerReserve * evenShare);
    return std::max(reported, static_cast<std::uint32_t>(reserve));
}

bool canDispatch(const SlotView &view)
{
    const std::uint32_t evenShare = evenSlotShare(view.m_slots, view.m_nodes, view.m_rank);
    if (view.m_own < evenShare)
        return true;
    const std::uint32_t ownMinimum = std::min(view.m_own, view.m_ownMinimum);
    const std::uint64_t known = std::uint64_t{ownMinimum} + view.m_peers;
    if (evenShare == 0 && view.m_own == 0 && known < view.m_slots)
        return true;
    const std::uint64_t unreported = std::uint64_t{view.m_nodes} * (view.m_own - ownMinimum + 1);
    return known + unreported <= view.m_slots;
}

std::uint32_t overshootBound(const SlotShareSettings &settings, std::uint32_t slots,
                             std::uint32_t nodes)
{
    std::uint32_t bound = 0;
    for (std::uint32_t rank = 0; rank + 1 < nodes; ++rank) {
        const std::uint32_t evenShare = evenSlotShare(slots, nodes, rank);
        bound += evenShare - std::min(evenShare, peerCharge(settings, 0, evenShare));
    }
    const std::uint32_t withoutSlot = nodes - std::min(nodes, slots);
    return bound + withoutSlot;
}

void InFlightHistory::note(TimePoint now, std::uint32_t inFlight, Duration keep)
{
    // Earlier values that are not lower can't be the minimum of any span that ends now.
    Minimum minimum{now, inFlight};
    while (!m_minima.empty() && m_minima.back().m_inFlight >= inFlight) {
        minimum.m_since = m_minima.back().m_since;
        m_minima.pop_back();
    }
    m_minima.push_back(minimum);
    // Keeps the last entry before the span, which holds the number at the span's beginning.
    while (m_minima.size() > 1 && m_minima[1].m_since <= now - keep)
        m_minima.pop_front();
}

std::uint32_t InFlightHistory::minimumSince(TimePoint since) const
{
    const auto later = std::ranges::upper_bound(m_minima, since, {}, &Minimum::m_since);
    return later == m_minima.begin() ? 0 : std::prev(later)->m_inFlight;
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
