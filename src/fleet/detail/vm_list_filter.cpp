#include "fleet/detail/vm_list_filter.hpp"

namespace gypsumdale::detail {

namespace {

/// So many lists in a row must miss a VM.
constexpr int missesUntilBelieved = 2;
/// A list that loses more than this part of its VMs at once is not believed against their answers.
constexpr std::size_t massiveLossDivisor = 2;
constexpr std::size_t fewestForMassiveLoss = 4;

/// Tells whether the list lost so many VMs at once that it may have been cut short.
bool isMassiveLoss(const UpstreamSet &upstreams, const std::set<UpstreamId> &shown)
{
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[upstream, entry] : upstreams) {
        if (!entry.m_isListed || entry.m_tracker.isVmLeaving())
            continue;
        ++known;
        missing += shown.contains(upstream) ? 0 : 1;
    }
    return known >= fewestForMassiveLoss && missing * massiveLossDivisor > known;
}

} // namespace

std::vector<UpstreamEntry *>
recordMissingVms(UpstreamSet &upstreams, const std::set<UpstreamId> &shown, TimePoint answeredSince)
{
    std::vector<UpstreamEntry *> believed;
    const bool isMassive = isMassiveLoss(upstreams, shown);
    for (auto &[upstream, entry] : upstreams) {
        if (!entry.m_isListed || shown.contains(upstream))
            continue;
        ++entry.m_missedLists;
        // Two reads of a lagging list may come from replicas of different age: one that misses a VM
        // proves nothing, and leaving could not be undone.
        if (entry.m_missedLists < missesUntilBelieved)
            continue;
        // A list that comes cut short shows as most VMs missing at once. Were it believed, a fault
        // of the cloud's interface would stop all service; VMs that answer are still there.
        const bool answers = entry.m_tracker.lastAnswer() > answeredSince;
        if (isMassive && answers)
            continue;
        entry.m_isListed = false;
        believed.push_back(&entry);
    }
    return believed;
}

} // namespace gypsumdale::detail
