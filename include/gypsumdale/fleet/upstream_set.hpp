#pragma once

#include <gypsumdale/fleet/observation_schedule.hpp>
#include <gypsumdale/fleet/probe_duty.hpp>
#include <gypsumdale/fleet/upstream_state_tracker.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <set> // set
#include <unordered_map> // unordered_map
#include <utility> // pair
#include <vector> // vector

namespace gypsumdale {

/// Number of requests that each other node reported to have at an upstream.
class InFlightReports
{
public:
    void set(const NodeId &node, int count);
    /// Returns false if the node had none.
    bool forget(const NodeId &node) { return m_countOf.erase(node) != 0; }
    /// Returns the sum over all nodes. Complexity: linear in the number of nodes.
    int sum() const;

private:
    std::unordered_map<NodeId, int> m_countOf;
};

/// Everything that the table stores for one upstream.
struct UpstreamEntry
{
    UpstreamStateTracker m_tracker;
    std::int64_t m_key = 0;
    ProbeOwners m_owners;
    bool m_isOwned = false;
    bool m_isStatic = false;
    bool m_isListed = false;
    /// Number of consecutive lists that did not show it; 0 while listed.
    int m_missedLists = 0;
    TimePoint m_nextProbe;
    int m_failedProbes = 0;
    ObservationSchedule m_schedule;
    InFlightReports m_inFlight;
};

/// The upstreams by name, by the key that peers use for them, and by service and data centre.
class UpstreamSet
{
public:
    std::size_t size() const { return m_entries.size(); }
    auto begin() { return m_entries.begin(); }
    auto end() { return m_entries.end(); }
    auto begin() const { return m_entries.begin(); }
    auto end() const { return m_entries.end(); }

    UpstreamEntry *find(const UpstreamId &upstream);
    const UpstreamEntry *find(const UpstreamId &upstream) const;
    UpstreamEntry *find(std::int64_t key);
    /// Returns the entry of an upstream that must be present.
    const UpstreamEntry &at(std::int64_t key) const { return m_entries.at(m_byKey.at(key)); }

    /// Adds an upstream that must not be present.
    UpstreamEntry &insert(const UpstreamDeclaration &declaration, UpstreamLocality place,
                          TimePoint now);
    void redeclare(UpstreamEntry &entry, const UpstreamDeclaration &declaration);
    void erase(const UpstreamId &upstream);

    /// Returns copies, ordered by service and name.
    std::vector<UpstreamView> views() const;

    /// Calls visit(const UpstreamView &) for each upstream of a service and data centre that may
    /// get new work. Complexity: linear in the number of upstreams of the service there, without
    /// copies.
    template <typename Visit>
    void forEachCandidate(const ServiceId &service, const DataCentreId &dataCentre,
                          Visit &&visit) const
    {
        const auto group = m_byService.find({service, dataCentre});
        if (group == m_byService.end())
            return;
        for (const UpstreamId &upstream : group->second) {
            const UpstreamView &view = m_entries.at(upstream).m_tracker.view();
            if (view.isOpen())
                visit(view);
        }
    }

    /// Returns copies of the candidates, live ones first, then by name.
    std::vector<UpstreamView> candidates(const ServiceId &service,
                                         const DataCentreId &dataCentre) const;

    /// Returns the free capacity of the upstreams of a service and data centre. Complexity: linear
    /// in their number.
    OwnCapacity openCapacityOf(const ServiceId &service, const DataCentreId &dataCentre) const;

    /// Returns the capacity of the live upstreams of a data centre, by service. Complexity: linear.
    std::vector<ServiceCapacity> capacityOf(const DataCentreId &dataCentre) const;

private:
    using ServiceGroup = std::pair<ServiceId, DataCentreId>;

    std::unordered_map<UpstreamId, UpstreamEntry> m_entries;
    std::map<ServiceGroup, std::set<UpstreamId>> m_byService;
    std::unordered_map<std::int64_t, UpstreamId> m_byKey;
};

} // namespace gypsumdale
