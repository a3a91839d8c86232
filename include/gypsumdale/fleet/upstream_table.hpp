#pragma once

#include <gypsumdale/fleet/change_log.hpp>
#include <gypsumdale/fleet/notice_table.hpp>
#include <gypsumdale/fleet/upstream_set.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <string> // string
#include <utility> // forward
#include <vector> // vector

namespace gypsumdale {

/// All upstreams this node knows, with their state and load. Two nodes of an upstream's data
/// centre, selected by rendezvous hashing, probe it and report changes to the others.
///
/// Leaving is permanent: a VM under a reclaim notice stays leaving until it is gone, whatever a
/// lagging list, a probe or another node reports; an upstream that an operator drains stays leaving
/// until it returns with a higher incarnation. An upstream that is leaving or gone is never among
/// the candidates.
///
/// Components: UpstreamSet stores the upstreams, UpstreamStateTracker tracks the state of one of
/// them, NoticeTable stores the notices, ProbeDuty distributes the probing, ObservationSchedule
/// determines when an owner reports, and chooseRouteScope selects between data centres. The table
/// receives events and passes them to these.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings);

    /// Replaces the upstreams that the settings declare. Complexity: linear.
    UpstreamCommands setConfiguredUpstreams(const std::vector<UpstreamDeclaration> &declared,
                                            TimePoint now);

    /// Applies the cloud's list. It lags: it adds VMs and marks them as leaving, but a VM that it
    /// shows as live although a notice concerns it stays leaving. A VM that is no longer shown is
    /// leaving, and gone once it is silent. Complexity: linear.
    UpstreamCommands onVmList(const std::vector<ListedUpstream> &listed, TimePoint now,
                              WallMillis wallNow);

    /// Applies a notice from the cloud, an operator or a peer; copies are ignored. Complexity:
    /// linear in the number of upstreams for a zone, logarithmic otherwise.
    UpstreamCommands onNotice(const LeavingNotice &notice, NoticeSource source, TimePoint now,
                              WallMillis wallNow);

    /// Drains the upstream in its current incarnation on behalf of an operator; does nothing if it
    /// is unknown.
    UpstreamCommands drain(const UpstreamId &upstream, TimePoint now, WallMillis wallNow);

    /// Sets the nodes that share the probing (Membership::dutyNodes). Cheap if unchanged; otherwise
    /// linear in nodes times upstreams.
    void setNodes(const std::vector<NodeId> &nodes);

    /// Advances to `now`: starts due probes and handles expiry. Complexity: linear in the number of
    /// upstreams, every 200 ms.
    UpstreamCommands tick(TimePoint now, WallMillis wallNow);

    UpstreamCommands onLoad(const UpstreamId &upstream, const UpstreamLoad &load, TimePoint now);
    UpstreamCommands onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                   TimePoint now);

    /// Handles a request of this node that could not reach the upstream or was aborted there.
    UpstreamCommands onRequestFailed(const UpstreamId &upstream, const std::string &reason,
                                     TimePoint now);
    /// Handles a request of this node that was answered. Ends the penalty of a failed one.
    UpstreamCommands onRequestSucceeded(const UpstreamId &upstream, TimePoint now);

    /// Sets the number of this node's requests at the upstream. Complexity: constant.
    void setInFlight(const UpstreamId &upstream, int count);

    /// Returns the observations of this node as an owner since a version, oldest first and at most
    /// `limit` of them. Complexity: linear in the result.
    ObservationBatch observationsSince(std::int64_t version, std::size_t limit,
                                       TimePoint now) const;
    /// Returns this node's own requests at upstreams that changed since `version`: all of them if
    /// there are few nodes, otherwise those at upstreams that `owner` probes. Complete up to
    /// inFlightVersion(). Complexity: linear in the number of changes.
    std::vector<InFlightReport> inFlightFor(const NodeId &owner, std::int64_t version) const;
    std::int64_t inFlightVersion() const { return m_inFlightChanges.version(); }
    std::int64_t version() const { return m_changes.version(); }

    /// Applies an observation from a node of the own data centre. Complexity: logarithmic.
    UpstreamCommands onObservation(const NodeId &from, const UpstreamObservation &observation,
                                   TimePoint now);
    void onInFlight(const NodeId &from, const InFlightReport &report);
    /// Removes the reported requests of a node that is dead or has restarted. Complexity: linear.
    void removeReports(const NodeId &node);

    /// Returns the retained notices, and a digest over their ids, by which peers detect that one of
    /// them missed some.
    std::vector<LeavingNotice> notices() const { return m_notices.all(); }
    std::int64_t noticesDigest() const { return m_notices.digest(); }

    const UpstreamView *find(const UpstreamId &upstream) const;
    std::vector<UpstreamView> views() const { return m_entries.views(); }

    /// Calls visit(const UpstreamView &) for each upstream of a service and data centre that may
    /// get new work. Complexity: linear in the number of upstreams of the service there, without
    /// copies.
    template <typename Visit>
    void forEachCandidate(const ServiceId &service, const DataCentreId &dataCentre,
                          Visit &&visit) const
    {
        m_entries.forEachCandidate(service, dataCentre, std::forward<Visit>(visit));
    }

    /// Returns copies of the candidates, live ones first, then by name.
    std::vector<UpstreamView> candidates(const ServiceId &service,
                                         const DataCentreId &dataCentre) const
    {
        return m_entries.candidates(service, dataCentre);
    }

    /// Returns where a request for a service may go: the own data centre unless its upstreams are
    /// gone or, if the setting allows, full; otherwise others according to their summaries.
    RouteScope routeScope(const ServiceId &service,
                          const std::map<DataCentreId, ReceivedSummary> &summaries,
                          TimePoint now) const;

    /// Returns the own data centre's capacity by service, for its summary. Complexity: linear.
    std::vector<ServiceCapacity> capacity() const;

    /// Returns the nodes that probe an upstream.
    const std::vector<NodeId> &ownersOf(const UpstreamId &upstream) const;

private:
    UpstreamEntry &declare(const UpstreamDeclaration &declaration, TimePoint now,
                           UpstreamCommands &commands);
    void remove(const UpstreamId &upstream);
    void selectOwners(UpstreamEntry &entry);
    void applyRetainedNotices(UpstreamEntry &entry, TimePoint now, UpstreamCommands &commands);
    void applyNotice(const LeavingNotice &notice, TimePoint now, UpstreamCommands &commands);
    void reportIfDue(UpstreamEntry &entry, TimePoint now);
    void probeIfDue(UpstreamEntry &entry, Duration interval, TimePoint now,
                    UpstreamCommands &commands);
    void removeExpired(TimePoint now);
    static void sumInFlight(UpstreamEntry &entry, int own);
    bool isLocal(const UpstreamDeclaration &declaration) const
    {
        return declaration.m_dataCentre == m_settings.m_dataCentre;
    }
    UpstreamLocality localityOf(const UpstreamDeclaration &declaration) const;

    UpstreamTableSettings m_settings;
    UpstreamSet m_entries;
    NoticeTable m_notices;
    ProbeDuty m_duty;
    TimePoint m_lastSweep;
    ChangeLog<std::int64_t> m_changes;
    ChangeLog<std::int64_t> m_inFlightChanges;
};

} // namespace gypsumdale
