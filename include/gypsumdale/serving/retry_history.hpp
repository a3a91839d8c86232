#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <vector> // vector

namespace gypsumdale {

/// Requests for a service, and retries of them.
struct RetryCounts
{
    std::int64_t m_requests = 0;
    std::int64_t m_retries = 0;

    friend bool operator==(const RetryCounts &, const RetryCounts &) = default;
};

/// Counts of one second.
struct RetrySlot
{
    /// Begin of the second.
    TimePoint m_at{};
    RetryCounts m_counts;
};

/// Length of a slot.
inline constexpr Duration retrySlotLength = std::chrono::seconds(1);

/// What a VM did within the window of the retry budget, and its processes before the current one.
struct RetryHistory
{
    /// By service, the oldest first.
    std::map<ServiceId, std::vector<RetrySlot>> m_slots;
    /// Until when earlier processes may have done more than this within the window.
    TimePoint m_incompleteUntil{};
};

/// What earlier processes of a VM did, as one of its peers knows.
struct EarlierRetries
{
    /// When the last of them last reported.
    TimePoint m_lastReportAt{};
    RetryHistory m_history;
};

/// Adds counts to the slot of a moment. Slots that begin earlier than `retention` before it are
/// dropped. Complexity: linear in the slots.
void addToSlots(std::vector<RetrySlot> &slots, const RetryCounts &counts, TimePoint now,
                Duration retention);

/// Returns the counts of a service that fall into the window that ends now. A slot of which only a
/// part does counts with its retries and without its requests, so that a budget isn't
/// overestimated. Complexity: linear in the slots.
RetryCounts countsWithin(const std::vector<RetrySlot> &slots, Duration window, TimePoint now);

} // namespace gypsumdale
