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
/// centre, chosen by rendezvous hashing, probe it and tell the others what changed.
///
/// Leaving is sticky: a VM under a reclaim notice stays leaving until it is gone, whatever a
/// lagging list, a probe or another node says; an upstream that an operator drains stays so until
/// it comes back with a higher incarnation. An upstream that is leaving or gone is never among the
/// candidates.
///
/// The parts: UpstreamSet holds the upstreams, UpstreamStateTracker the state of one of them,
/// NoticeTable the notices, ProbeDuty who probes what, ObservationSchedule when an owner speaks,
/// and chooseRouteScope chooses between data centres. The table takes in events and hands them on
/// to these.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings);

    /// Replaces the upstreams that settings name. Linear.
    UpstreamCommands setConfiguredUpstreams(const std::vector<UpstreamDeclaration> &declared,
                                            TimePoint now);

    /// Takes in the cloud's list. It lags: it adds VMs and says leaving, but a VM it shows live
    /// although a notice said otherwise stays leaving. A VM no longer shown is leaving, and gone
    /// once it is silent. Linear.
    UpstreamCommands onVmList(const std::vector<ListedUpstream> &listed, TimePoint now,
                              WallMillis wallNow);

    /// Takes in a notice, from the cloud, an operator or a peer; copies are ignored. Linear in the
    /// upstreams for a zone, logarithmic otherwise.
    UpstreamCommands onNotice(const LeavingNotice &notice, NoticeSource source, TimePoint now,
                              WallMillis wallNow);

    /// An operator's drain of the upstream in its present incarnation; nothing if it is unknown.
    UpstreamCommands drain(const UpstreamId &upstream, TimePoint now, WallMillis wallNow);

    /// Says which nodes share the duty of probing (Membership::dutyNodes). Cheap if unchanged;
    /// otherwise linear in nodes times upstreams.
    void setNodes(const std::vector<NodeId> &nodes);

    /// Moves on to `now`: probes that are due, and what ran out. Linear in upstreams, every 200 ms.
    UpstreamCommands tick(TimePoint now, WallMillis wallNow);

    UpstreamCommands onLoad(const UpstreamId &upstream, const UpstreamLoad &load, TimePoint now);
    UpstreamCommands onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                   TimePoint now);

    /// A request of this node could not reach the upstream or broke off there.
    UpstreamCommands onRequestFailed(const UpstreamId &upstream, const std::string &reason,
                                     TimePoint now);
    /// A request of this node got an answer. Ends the penalty of a failed one.
    UpstreamCommands onRequestSucceeded(const UpstreamId &upstream, TimePoint now);

    /// Sets the number of this node's requests at the upstream. Constant.
    void setInFlight(const UpstreamId &upstream, int count);

    /// What this node observed as an owner since a version, oldest first and at most `limit` of it.
    /// Linear in what is returned.
    ObservationBatch observationsSince(std::int64_t version, std::size_t limit,
                                       TimePoint now) const;
    /// This node's own requests at upstreams that changed since `version`: all of them among few
    /// nodes, else those that `owner` probes. Leads up to inFlightVersion(). Linear in the changes.
    std::vector<InFlightReport> inFlightFor(const NodeId &owner, std::int64_t version) const;
    std::int64_t inFlightVersion() const { return m_inFlightChanges.version(); }
    std::int64_t version() const { return m_changes.version(); }

    /// Takes in what a node of the own data centre observed. Logarithmic.
    UpstreamCommands onObservation(const NodeId &from, const UpstreamObservation &observation,
                                   TimePoint now);
    void onInFlight(const NodeId &from, const InFlightReport &report);
    /// Drops what a node reported of its requests, when it is dead or started anew. Linear.
    void removeReports(const NodeId &node);

    /// The notices still kept, and a digest over their ids, with which peers find out that one of
    /// them missed some.
    std::vector<LeavingNotice> notices() const { return m_notices.all(); }
    std::int64_t noticesDigest() const { return m_notices.digest(); }

    const UpstreamView *find(const UpstreamId &upstream) const;
    std::vector<UpstreamView> views() const { return m_entries.views(); }

    /// Calls visit(const UpstreamView &) for each upstream of a service and data centre that may
    /// take new work. Linear in the upstreams of the service there, without copies.
    template <typename Visit>
    void forEachCandidate(const ServiceId &service, const DataCentreId &dataCentre,
                          Visit &&visit) const
    {
        m_entries.forEachCandidate(service, dataCentre, std::forward<Visit>(visit));
    }

    /// Copies of the candidates, live ones first, then by name.
    std::vector<UpstreamView> candidates(const ServiceId &service,
                                         const DataCentreId &dataCentre) const
    {
        return m_entries.candidates(service, dataCentre);
    }

    /// Where a request for a service may go: the own data centre unless its upstreams are gone or,
    /// if the setting allows, full; then others by their summaries.
    RouteScope routeScope(const ServiceId &service,
                          const std::map<DataCentreId, ReceivedSummary> &summaries,
                          TimePoint now) const;

    /// The own data centre's capacity by service, for its summary. Linear.
    std::vector<ServiceCapacity> capacity() const;

    /// The nodes that probe an upstream.
    const std::vector<NodeId> &ownersOf(const UpstreamId &upstream) const;

private:
    UpstreamEntry &declare(const UpstreamDeclaration &declaration, TimePoint now,
                           UpstreamCommands &commands);
    void remove(const UpstreamId &upstream);
    void chooseOwners(UpstreamEntry &entry);
    void applyKeptNotices(UpstreamEntry &entry, TimePoint now, UpstreamCommands &commands);
    void applyNotice(const LeavingNotice &notice, TimePoint now, UpstreamCommands &commands);
    void shareIfDue(UpstreamEntry &entry, TimePoint now);
    void probeIfDue(UpstreamEntry &entry, Duration interval, TimePoint now,
                    UpstreamCommands &commands);
    void forgetOld(TimePoint now);
    static void sumInFlight(UpstreamEntry &entry, int own);
    bool isHere(const UpstreamDeclaration &declaration) const
    {
        return declaration.m_dataCentre == m_settings.m_dataCentre;
    }
    UpstreamLocality placeOf(const UpstreamDeclaration &declaration) const;

    UpstreamTableSettings m_settings;
    UpstreamSet m_entries;
    NoticeTable m_notices;
    ProbeDuty m_duty;
    TimePoint m_lastSweep;
    ChangeLog<std::int64_t> m_changes;
    ChangeLog<std::int64_t> m_inFlightChanges;
};

} // namespace gypsumdale
