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
    const std::uint32_t heard = std::min(view.m_own, view.m_ownHeard);
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
        const std::uint32_t lent = lentSlots(slots, nodes, rank);
        bound += lent - std::min(lent, peerCharge(settings, 0, lent));
    }
    const std::uint32_t withoutSlot = nodes - std::min(nodes, slots);
    return bound + withoutSlot;
}

void InFlightHistory::note(TimePoint now, std::uint32_t inFlight, Duration keep)
{
    // The last change before the time kept tells how many there were at its beginning.
    while (m_changes.size() > 1 && m_changes[1].m_at <= now - keep)
        m_changes.pop_front();
    m_changes.push_back(Change{now, inFlight});
}

std::uint32_t InFlightHistory::leastSince(TimePoint since) const
{
    if (m_changes.empty() || m_changes.front().m_at > since)
        return 0;
    std::uint32_t least = m_changes.back().m_inFlight;
    for (std::size_t left = m_changes.size(); left > 0; --left) {
        const Change &change = m_changes[left - 1];
        least = std::min(least, change.m_inFlight);
        if (change.m_at <= since)
            break;
    }
    return least;
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
