#include <gypsumdale/fleet/observation_schedule.hpp>

#include <algorithm> // max
#include <cstdlib> // abs

namespace gypsumdale {

namespace {

/// A load is reported early if it changed by more than this part of the slots.
constexpr int notableLoadDivisor = 8;
/// Number of intervals of silence of the first owner after which the second one reports loads.
constexpr int firstOwnerSilenceFactor = 3;

bool isNotable(const UpstreamLoad &before, const UpstreamLoad &after)
{
    if (before.m_incarnation != after.m_incarnation || before.m_slots != after.m_slots)
        return true;
    const int step = std::max(1, after.m_slots / notableLoadDivisor);
    const int change = (after.m_running + after.m_queued) - (before.m_running + before.m_queued);
    return std::abs(change) >= step;
}

} // namespace

bool ObservationSchedule::recordIfDue(OwnerRank rank, UpstreamState state, const UpstreamLoad &load,
                                      Duration interval, Duration probeInterval, TimePoint now)
{
    const bool isFirstSilent = now - m_firstOwnerReportedAt
                               > firstOwnerSilenceFactor * std::max(probeInterval, interval);
    const bool reportsLoad = rank == OwnerRank::First || isFirstSilent;
    const bool hasStateChanged = state != m_state;
    const bool isLoadDue = isNotable(m_load, load) || now - m_sentAt >= interval;
    if (!hasStateChanged && !(reportsLoad && isLoadDue))
        return false;
    m_state = state;
    m_load = load;
    m_sentAt = now;
    return true;
}

} // namespace gypsumdale
