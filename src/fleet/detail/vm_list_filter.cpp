#include "fleet/detail/vm_list_filter.hpp"

namespace gypsumdale::detail {

namespace {

/// Number of consecutive lists that must miss a VM before it counts as unlisted.
constexpr int missesUntilUnlisted = 2;
/// A list that loses more than this part of its VMs at once, as a divisor, is ignored for VMs that
/// answer.
constexpr std::size_t massLossDivisor = 2;
constexpr std::size_t minKnownForMassLoss = 4;

/// Returns whether the list lost so many VMs at once that it may be truncated.
bool isMassLoss(const UpstreamSet &upstreams, const std::set<UpstreamId> &shown)
{
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[upstream, entry] : upstreams) {
        if (!entry.m_isListed || entry.m_tracker.isVmLeaving())
            continue;
        ++known;
        missing += shown.contains(upstream) ? 0 : 1;
    }
    return known >= minKnownForMassLoss && missing * massLossDivisor > known;
}

} // namespace

std::vector<UpstreamEntry *>
recordMissingVms(UpstreamSet &upstreams, const std::set<UpstreamId> &shown, TimePoint answeredSince)
{
    std::vector<UpstreamEntry *> unlisted;
    const bool hasMassLoss = isMassLoss(upstreams, shown);
    for (auto &[upstream, entry] : upstreams) {
        if (!entry.m_isListed || shown.contains(upstream))
            continue;
        ++entry.m_missedLists;
        // Two reads of a lagging list may come from replicas of different age: one list that misses
        // a VM proves nothing, and leaving could not be undone.
        if (entry.m_missedLists < missesUntilUnlisted)
            continue;
        // A truncated list appears as most VMs missing at once. If it were accepted, a fault of the
        // cloud's interface would stop all service; VMs that answer still exist.
        const bool answers = entry.m_tracker.lastAnswer() > answeredSince;
        if (hasMassLoss && answers)
            continue;
        entry.m_isListed = false;
        unlisted.push_back(&entry);
    }
    return unlisted;
}

} // namespace gypsumdale::detail
