#include <gypsumdale/serving/retry_budget_share.hpp>

#include <algorithm> // max
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Fraction of the budget that is left unused. A request and its retry may fall into different
/// windows, which users count separately.
constexpr double unusedFraction = 0.2;
constexpr double usedFraction = 1 - unusedFraction;
/// Longest time between the last report of a process and the start of its successor for which the
/// report counts as its last word.
constexpr Duration maxReportGap = std::chrono::seconds(4);
/// Time after which all VMs know of one that has joined, and share the slack with it.
constexpr Duration joiningTime = std::chrono::seconds(5);

} // namespace

RetryBudgetShare::RetryBudgetShare(RetryBudgetShareSettings settings)
    : m_settings(settings)
{
    if (settings.m_restartedAt)
        m_unknownUntil = *settings.m_restartedAt + settings.m_window + joiningTime;
}

RetryBudgetShare::Usage &RetryBudgetShare::usageOf(const ServiceId &service)
{
    return m_usages.try_emplace(service, m_settings.m_window).first->second;
}

void RetryBudgetShare::noteRequest(const ServiceId &service, TimePoint now)
{
    Usage &usage = usageOf(service);
    usage.m_requests.add(1, now);
    addToSlots(usage.m_slots, {1, 0}, now, m_settings.m_window);
}

bool RetryBudgetShare::setEarlier(const EarlierRetries &earlier)
{
    const std::optional<TimePoint> restartedAt = m_settings.m_restartedAt;
    if (!restartedAt || earlier.m_lastReportAt < *restartedAt - maxReportGap)
        return false;
    if (m_earlierReportAt && earlier.m_lastReportAt <= *m_earlierReportAt)
        return false;
    for (const auto &[service, slots] : earlier.m_history.m_slots)
        usageOf(service).m_earlier = slots;
    m_unknownUntil = earlier.m_history.m_incompleteUntil;
    return !std::exchange(m_earlierReportAt, earlier.m_lastReportAt);
}

double RetryBudgetShare::left(const ServiceId &service, TimePoint now)
{
    Usage &usage = usageOf(service);
    const RetryCounts earlier = countsWithin(usage.m_earlier, m_settings.m_window, now);
    const double requests = usage.m_requests.sum(now) + static_cast<double>(earlier.m_requests);
    const double retries = usage.m_retries.sum(now) + static_cast<double>(earlier.m_retries);
    if (now < m_unknownUntil)
        return unusedFraction * m_settings.m_ratio * requests - retries;
    return usedFraction * (m_settings.m_ratio * requests + slackShare()) - retries;
}

bool RetryBudgetShare::tryTake(const ServiceId &service, TimePoint now)
{
    if (left(service, now) < 1) {
        ++m_deniedTotal;
        return false;
    }
    ++m_takenTotal;
    ++m_unreported;
    Usage &usage = usageOf(service);
    usage.m_retries.add(1, now);
    addToSlots(usage.m_slots, {0, 1}, now, m_settings.m_window);
    return true;
}

RetryHistory RetryBudgetShare::report(TimePoint now)
{
    m_unreported = 0;
    RetryHistory history;
    history.m_incompleteUntil = m_unknownUntil;
    for (const auto &[service, usage] : m_usages) {
        std::vector<RetrySlot> &slots = history.m_slots[service];
        slots = usage.m_earlier;
        slots.insert(slots.end(), usage.m_slots.begin(), usage.m_slots.end());
        std::erase_if(slots, [this, now](const RetrySlot &slot) {
            return now - slot.m_at >= m_settings.m_window + retrySlotLength;
        });
    }
    return history;
}

bool RetryBudgetShare::setFleetSize(std::size_t nodes)
{
    const double size = std::max(1.0, static_cast<double>(nodes));
    return std::exchange(m_fleetSize, size) != size;
}

} // namespace gypsumdale
