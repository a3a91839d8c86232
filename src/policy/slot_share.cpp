#include <gypsumdale/policy/slot_share.hpp>

#include <algorithm> // max, min
#include <cmath> // floor

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
    if (view.m_own < lentSlots(view.m_slots, view.m_nodes, view.m_rank))
        return true;
    const std::uint32_t seenByPeers = view.m_own - std::min(view.m_own, view.m_recent);
    const std::uint64_t known = std::uint64_t{seenByPeers} + view.m_peers;
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
    return bound;
}

std::uint32_t RecentDispatches::countSince(TimePoint now, Duration window)
{
    while (!m_times.empty() && m_times.front() <= now - window)
        m_times.pop_front();
    return static_cast<std::uint32_t>(m_times.size());
}

} // namespace gypsumdale
