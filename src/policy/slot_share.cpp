#include <gypsumdale/policy/slot_share.hpp>

#include <algorithm> // max, min, upper_bound
#include <cmath> // floor
#include <iterator> // distance

namespace gypsumdale {

std::uint32_t lentSlots(std::uint32_t slots, std::uint32_t nodes, std::uint32_t rank)
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

bool mayDispatch(const SlotView &view)
{
    const std::uint32_t lent = lentSlots(view.m_slots, view.m_nodes, view.m_rank);
    if (view.m_own < lent)
        return true;
    const std::uint32_t seenByPeers = view.m_own - std::min(view.m_own, view.m_recent);
    const std::uint64_t known = std::uint64_t{seenByPeers} + view.m_peers;
    if (lent == 0 && view.m_own == 0 && known < view.m_slots)
        return true;
    const std::uint64_t unseen = std::uint64_t{view.m_nodes} * (view.m_recent + 1);
    return known + unseen <= view.m_slots;
}

std::uint32_t overshootBound(const SlotShareSettings &settings, std::uint32_t slots,
                             std::uint32_t nodes)
{
    std::uint32_t bound = 0;
    for (std::uint32_t rank = 0; rank + 1 < nodes; ++rank) {
        const std::uint32_t lent = lentSlots(slots, nodes, rank);
        bound += lent - std::min(lent, peerCharge(settings, 0, lent));
    }
    const std::uint32_t withoutSlot = nodes - std::min(nodes, slots);
    return bound + withoutSlot;
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
