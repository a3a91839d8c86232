#include <gypsumdale/fleet/route_scope.hpp>

#include <algorithm> // sort
#include <utility> // move, pair

namespace gypsumdale {

namespace {

/// Returns the data centres with free slots for the service, the one with the most first.
std::vector<DataCentreId> withFreeSlots(const ServiceId &service,
                                        const std::map<DataCentreId, ReceivedSummary> &summaries,
                                        Duration longestAge, TimePoint now)
{
    std::vector<std::pair<int, DataCentreId>> candidates;
    for (const auto &[dataCentre, received] : summaries) {
        if (now - received.m_receivedAt > longestAge)
            continue;
        for (const ServiceCapacity &capacity : received.m_summary.m_services) {
            const int freeSlots = capacity.m_slots - capacity.m_running - capacity.m_queued;
            if (capacity.m_service == service && capacity.m_upstreams > 0 && freeSlots > 0)
                candidates.emplace_back(-freeSlots, dataCentre);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<DataCentreId> result;
    result.reserve(candidates.size());
    for (auto &[freeSlots, dataCentre] : candidates)
        result.push_back(std::move(dataCentre));
    return result;
}

} // namespace

RouteScope chooseRouteScope(const OwnCapacity &own, const ServiceId &service, RemoteScope scope,
                            const std::map<DataCentreId, ReceivedSummary> &summaries,
                            Duration longestAge, TimePoint now)
{
    const bool staysHere = own.m_hasFreeSlot || (own.m_hasLive && scope != RemoteScope::WhenFull);
    if (staysHere || (own.m_hasOpen && scope == RemoteScope::Never))
        return RouteOwn{};
    if (scope == RemoteScope::Never)
        return RouteUnavailable{
                "no upstream in this data centre, and the settings forbid other data centres"};

    std::vector<DataCentreId> others = withFreeSlots(service, summaries, longestAge, now);
    if (others.empty() && own.m_hasOpen)
        return RouteOwn{};
    if (others.empty())
        return RouteUnavailable{
                "no upstream in this data centre, and no free capacity in another data centre"};
    return RouteRemote{std::move(others)};
}

} // namespace gypsumdale
