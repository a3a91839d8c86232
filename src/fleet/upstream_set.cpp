#include <gypsumdale/fleet/upstream_key.hpp>
#include <gypsumdale/fleet/upstream_set.hpp>

#include <algorithm> // max, stable_sort

namespace gypsumdale {

void InFlightReports::set(const NodeId &node, int count)
{
    if (count == 0)
        m_countOf.erase(node);
    else
        m_countOf[node] = count;
}

int InFlightReports::sum() const
{
    int total = 0;
    for (const auto &[node, count] : m_countOf)
        total += count;
    return total;
}

UpstreamEntry *UpstreamSet::find(const UpstreamId &upstream)
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

const UpstreamEntry *UpstreamSet::find(const UpstreamId &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

UpstreamEntry *UpstreamSet::find(std::int64_t key)
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : find(found->second);
}

UpstreamEntry &UpstreamSet::insert(const UpstreamDeclaration &declaration, UpstreamLocality place,
                                   TimePoint now)
{
    UpstreamEntry &entry = m_entries[declaration.m_upstream];
    entry.m_key = upstreamKey(declaration.m_upstream);
    entry.m_tracker = UpstreamStateTracker(declaration, place, now);
    m_byKey.try_emplace(entry.m_key, declaration.m_upstream);
    m_byService[{declaration.m_service, declaration.m_dataCentre}].insert(declaration.m_upstream);
    return entry;
}

void UpstreamSet::redeclare(UpstreamEntry &entry, const UpstreamDeclaration &declaration)
{
    const UpstreamDeclaration &held = entry.m_tracker.view().m_declaration;
    m_byService[{held.m_service, held.m_dataCentre}].erase(held.m_upstream);
    entry.m_tracker.redeclare(declaration);
    m_byService[{declaration.m_service, declaration.m_dataCentre}].insert(declaration.m_upstream);
}

void UpstreamSet::erase(const UpstreamId &upstream)
{
    const auto found = m_entries.find(upstream);
    const UpstreamEntry &entry = found->second;
    const UpstreamDeclaration &declaration = entry.m_tracker.view().m_declaration;
    const ServiceGroup group{declaration.m_service, declaration.m_dataCentre};
    m_byService[group].erase(upstream);
    if (m_byService[group].empty())
        m_byService.erase(group);
    const auto key = m_byKey.find(entry.m_key);
    if (key != m_byKey.end() && key->second == upstream)
        m_byKey.erase(key);
    m_entries.erase(found);
}

std::vector<UpstreamView> UpstreamSet::views() const
{
    std::vector<UpstreamView> result;
    for (const auto &[group, upstreams] : m_byService) {
        for (const UpstreamId &upstream : upstreams)
            result.push_back(m_entries.at(upstream).m_tracker.view());
    }
    return result;
}

std::vector<UpstreamView> UpstreamSet::candidates(const ServiceId &service,
                                                  const DataCentreId &dataCentre) const
{
    std::vector<UpstreamView> result;
    forEachCandidate(service, dataCentre,
                     [&](const UpstreamView &view) { result.push_back(view); });
    std::stable_sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.m_state < right.m_state;
    });
    return result;
}

std::vector<ServiceCapacity> UpstreamSet::capacityOf(const DataCentreId &dataCentre) const
{
    std::vector<ServiceCapacity> result;
    for (const auto &[group, upstreams] : m_byService) {
        const auto &[service, place] = group;
        if (place != dataCentre)
            continue;
        ServiceCapacity sum{service};
        forEachCandidate(service, dataCentre, [&](const UpstreamView &view) {
            if (view.m_state != UpstreamState::Live)
                return;
            ++sum.m_upstreams;
            sum.m_slots += view.m_load.m_slots;
            sum.m_running += view.m_load.m_running;
            sum.m_queued += view.m_load.m_queued;
        });
        result.push_back(sum);
    }
    return result;
}

OwnCapacity UpstreamSet::openCapacityOf(const ServiceId &service,
                                        const DataCentreId &dataCentre) const
{
    OwnCapacity capacity;
    forEachCandidate(service, dataCentre, [&](const UpstreamView &view) {
        capacity.m_hasOpen = true;
        if (view.m_state != UpstreamState::Live)
            return;
        capacity.m_hasLive = true;
        const UpstreamLoad &load = view.m_load;
        const int taken = std::max(load.m_running + load.m_queued, view.m_totalInFlight);
        capacity.m_hasFreeSlot =
                capacity.m_hasFreeSlot || load.m_slots == 0 || taken < load.m_slots;
    });
    return capacity;
}

} // namespace gypsumdale
