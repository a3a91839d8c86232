#include <gypsumdale/serving/retry_history.hpp>

namespace gypsumdale {

void addToSlots(std::vector<RetrySlot> &slots, const RetryCounts &counts, TimePoint now,
                Duration retention)
{
    std::erase_if(slots, [&](const RetrySlot &slot) { return now - slot.m_at > retention; });
    const TimePoint begin = now - now.time_since_epoch() % retrySlotLength;
    if (slots.empty() || slots.back().m_at < begin)
        slots.push_back({begin, {}});
    slots.back().m_counts.m_requests += counts.m_requests;
    slots.back().m_counts.m_retries += counts.m_retries;
}

RetryCounts countsWithin(const std::vector<RetrySlot> &slots, Duration window, TimePoint now)
{
    RetryCounts counts;
    for (const RetrySlot &slot : slots) {
        if (now - slot.m_at < window)
            counts.m_requests += slot.m_counts.m_requests;
        if (now - slot.m_at < window + retrySlotLength)
            counts.m_retries += slot.m_counts.m_retries;
    }
    return counts;
}

} // namespace gypsumdale
