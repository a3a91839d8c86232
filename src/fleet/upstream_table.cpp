#include <gypsumdale/fleet/upstream_table.hpp>

#include "fleet/detail/vm_list_filter.hpp"

#include <algorithm> // min
#include <set> // set

namespace gypsumdale {

namespace {

/// Factor for the probe interval of a process that is gone, in case it returns.
constexpr int goneProbeFactor = 4;
/// Interval at which all entries are visited; expiry is noticed with this delay. At 1,100 upstreams
/// a sweep on every tick was most of the control work of a node.
constexpr Duration sweepInterval = std::chrono::milliseconds(200);

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableSettings settings)
    : m_settings(std::move(settings))
    , m_notices(m_settings.m_listLag, m_settings.m_noticeRetention)
    , m_duty(m_settings)
{}

// --- entries ----------------------------------------------------------------------------------

UpstreamLocality UpstreamTable::localityOf(const UpstreamDeclaration &declaration) const
{
    return isLocal(declaration) ? UpstreamLocality::Local : UpstreamLocality::Remote;
}

void UpstreamTable::remove(const UpstreamId &upstream)
{
    const UpstreamEntry &entry = *m_entries.find(upstream);
    if (entry.m_isOwned)
        m_duty.remove();
    m_changes.forget(entry.m_key);
    m_inFlightChanges.forget(entry.m_key);
    m_entries.erase(upstream);
}

UpstreamCommands
UpstreamTable::setConfiguredUpstreams(const std::vector<UpstreamDeclaration> &declared,
                                      TimePoint now)
{
    UpstreamCommands commands;
    std::set<UpstreamId> named;
    for (const UpstreamDeclaration &declaration : declared) {
        named.insert(declaration.m_upstream);
        declare(declaration, now, commands).m_isStatic = true;
    }
    std::vector<UpstreamId> dropped;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.m_isStatic && !named.contains(upstream))
            dropped.push_back(upstream);
    }
    for (const UpstreamId &upstream : dropped) {
        m_entries.find(upstream)->m_tracker.drop(now, commands);
        remove(upstream);
    }
    return commands;
}

UpstreamEntry &UpstreamTable::declare(const UpstreamDeclaration &declaration, TimePoint now,
                                      UpstreamCommands &commands)
{
    if (UpstreamEntry *held = m_entries.find(declaration.m_upstream)) {
        if (held->m_tracker.view().m_declaration != declaration) {
            m_entries.redeclare(*held, declaration);
            selectOwners(*held);
        }
        return *held;
    }
    UpstreamEntry &entry = m_entries.insert(declaration, localityOf(declaration), now);
    selectOwners(entry);
    applyRetainedNotices(entry, now, commands);
    return entry;
}

// --- owners -----------------------------------------------------------------------------------

void UpstreamTable::selectOwners(UpstreamEntry &entry)
{
    if (entry.m_isOwned)
        m_duty.remove();
    entry.m_isOwned = false;
    entry.m_owners = {};
    const UpstreamDeclaration &declaration = entry.m_tracker.view().m_declaration;
    if (!isLocal(declaration))
        return;
    entry.m_owners = m_duty.ownersOf(declaration.m_upstream);
    entry.m_isOwned = entry.m_owners.includes(m_settings.m_self);
    if (entry.m_isOwned)
        m_duty.add();
    entry.m_tracker.retainSuspicionsOf(entry.m_owners.nodes());
}

void UpstreamTable::setNodes(const std::vector<NodeId> &nodes)
{
    const bool wasFullMesh = m_duty.isFullMesh();
    if (!m_duty.setNodes(nodes))
        return;
    const bool hasMeshChanged = wasFullMesh != m_duty.isFullMesh();
    for (auto &[upstream, entry] : m_entries) {
        selectOwners(entry);
        // A new owner does not know this node's requests there; nor, if the data centre shrank to a
        // full mesh, do the nodes that received no reports before.
        if (entry.m_tracker.view().m_ownInFlight > 0 || hasMeshChanged)
            m_inFlightChanges.touch(entry.m_key);
    }
}

const std::vector<NodeId> &UpstreamTable::ownersOf(const UpstreamId &upstream) const
{
    static const std::vector<NodeId> none;
    const UpstreamEntry *entry = m_entries.find(upstream);
    return entry ? entry->m_owners.nodes() : none;
}

// --- the VM list ------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::onVmList(const std::vector<ListedUpstream> &listed, TimePoint now,
                                         WallMillis wallNow)
{
    UpstreamCommands commands;
    std::set<UpstreamId> shown;
    for (const ListedUpstream &item : listed) {
        const UpstreamDeclaration &declaration = item.m_declaration;
        shown.insert(declaration.m_upstream);
        UpstreamEntry &entry = declare(declaration, now, commands);
        entry.m_isListed = true;
        entry.m_missedLists = 0;
        if (!item.m_isLeaving || entry.m_tracker.isVmLeaving())
            continue;
        const LeavingNotice notice = listedLeavingNotice(declaration.m_vm);
        UpstreamCommands noticeCommands = onNotice(notice, NoticeSource::Local, now, wallNow);
        commands.insert(commands.end(), noticeCommands.begin(), noticeCommands.end());
    }
    const TimePoint answeredSince = now - 2 * m_settings.m_reportInterval;
    for (UpstreamEntry *missing : detail::recordMissingVms(m_entries, shown, answeredSince)) {
        if (!missing->m_isStatic && missing->m_tracker.view().m_state != UpstreamState::Gone)
            missing->m_tracker.markUnlisted(now, commands);
    }
    return commands;
}

// --- notices ----------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::onNotice(const LeavingNotice &notice, NoticeSource source,
                                         TimePoint now, WallMillis wallNow)
{
    UpstreamCommands commands;
    const NoticeStatus status = m_notices.take(notice, now, wallNow);
    if (status == NoticeStatus::Known)
        return commands;
    // After a long partition an old zone notice may arrive when the zone has new VMs, to which it
    // doesn't apply.
    if (status == NoticeStatus::Late && notice.m_cause == LeavingCause::ZoneReclaim)
        return commands;
    applyNotice(notice, now, commands);
    if (source != NoticeSource::OwnDataCentre)
        commands.push_back(ForwardNotice{notice, source == NoticeSource::Local});
    return commands;
}

void UpstreamTable::applyNotice(const LeavingNotice &notice, TimePoint now,
                                UpstreamCommands &commands)
{
    if (!notice.m_upstream.isEmpty()) {
        if (UpstreamEntry *entry = m_entries.find(notice.m_upstream))
            entry->m_tracker.leave(notice, now, commands);
        return;
    }
    for (auto &[upstream, entry] : m_entries) {
        const UpstreamDeclaration &declaration = entry.m_tracker.view().m_declaration;
        const bool isByVm = !notice.m_vm.isEmpty() && declaration.m_vm == notice.m_vm;
        const bool isByZone = notice.m_vm.isEmpty() && declaration.m_dataCentre == notice.m_zone;
        if (isByVm || isByZone)
            entry.m_tracker.leave(notice, now, commands);
    }
}

void UpstreamTable::applyRetainedNotices(UpstreamEntry &entry, TimePoint now,
                                         UpstreamCommands &commands)
{
    const UpstreamDeclaration &declaration = entry.m_tracker.view().m_declaration;
    for (const NoticeEffect &effect : m_notices.effectsOn(declaration, now)) {
        if (effect.m_heldUntil)
            entry.m_tracker.holdBack(*effect.m_heldUntil, now, commands);
        else
            entry.m_tracker.leave(effect.m_notice, now, commands);
    }
}

UpstreamCommands UpstreamTable::drain(const UpstreamId &upstream, TimePoint now, WallMillis wallNow)
{
    const UpstreamEntry *entry = m_entries.find(upstream);
    if (!entry)
        return {};
    const Incarnation incarnation = entry->m_tracker.view().m_load.m_incarnation;
    return onNotice(drainNotice(upstream, incarnation, wallNow), NoticeSource::Local, now, wallNow);
}

void UpstreamTable::removeExpired(TimePoint now)
{
    m_notices.expire(now);
    std::vector<UpstreamId> old;
    for (const auto &[upstream, entry] : m_entries) {
        const bool isGone =
                entry.m_tracker.view().m_state == UpstreamState::Gone && !entry.m_isStatic;
        const Duration age = now - entry.m_tracker.view().m_stateSince;
        if (isGone && !entry.m_isListed && age > m_settings.m_noticeRetention)
            old.push_back(upstream);
    }
    for (const UpstreamId &upstream : old)
        remove(upstream);
}

// --- load -------------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::onLoad(const UpstreamId &upstream, const UpstreamLoad &load,
                                       TimePoint now)
{
    UpstreamCommands commands;
    UpstreamEntry *entry = m_entries.find(upstream);
    if (!entry || !entry->m_tracker.recordLoad(load, now))
        return commands;
    entry->m_failedProbes = 0;
    entry->m_tracker.clearSuspicion(m_settings.m_self);
    entry->m_tracker.recoverIfAnswered(now, commands);
    reportIfDue(*entry, now);
    return commands;
}

UpstreamCommands UpstreamTable::onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                              TimePoint now)
{
    UpstreamCommands commands;
    UpstreamEntry *entry = m_entries.find(upstream);
    // A probe may fail after this node has lost the ownership of the upstream. Its suspicion would
    // be permanent, as only the next probe clears it: requests avoided a working upstream until the
    // process restarted.
    if (!entry || !entry->m_isOwned)
        return commands;
    ++entry->m_failedProbes;
    if (entry->m_failedProbes < m_settings.m_suspectAfterFailures)
        return commands;
    entry->m_tracker.recordProbeFailure(m_settings.m_self, reason, now, commands);
    reportIfDue(*entry, now);
    return commands;
}

UpstreamCommands UpstreamTable::onRequestFailed(const UpstreamId &upstream,
                                                const std::string &reason, TimePoint now)
{
    UpstreamCommands commands;
    UpstreamEntry *entry = m_entries.find(upstream);
    if (!entry)
        return commands;
    entry->m_tracker.recordRequestFailure(reason, now + m_settings.m_failurePenalty, now, commands);
    // An owner detects immediately whether the upstream or only the connection was lost.
    entry->m_nextProbe = std::min(entry->m_nextProbe, now);
    return commands;
}

UpstreamCommands UpstreamTable::onRequestSucceeded(const UpstreamId &upstream, TimePoint now)
{
    UpstreamCommands commands;
    if (UpstreamEntry *entry = m_entries.find(upstream))
        entry->m_tracker.recordRequestSuccess(now, commands);
    return commands;
}

// --- reports of owners ------------------------------------------------------------------------

void UpstreamTable::reportIfDue(UpstreamEntry &entry, TimePoint now)
{
    if (!entry.m_isOwned)
        return;
    const UpstreamState state = entry.m_tracker.stateSeenBy(m_settings.m_self);
    const bool isFirst = entry.m_owners.isFirst(m_settings.m_self);
    const OwnerRank rank = isFirst ? OwnerRank::First : OwnerRank::Second;
    if (entry.m_schedule.recordIfDue(rank, state, entry.m_tracker.view().m_load,
                                     m_settings.m_reportInterval, m_duty.interval(), now))
        m_changes.touch(entry.m_key);
}

ObservationBatch UpstreamTable::observationsSince(std::int64_t version, std::size_t limit,
                                                  TimePoint now) const
{
    const Changes<std::int64_t> changes = m_changes.since(version, limit);
    ObservationBatch batch;
    batch.m_upTo = changes.m_upTo;
    for (const std::int64_t key : changes.m_keys) {
        const UpstreamEntry &entry = m_entries.at(key);
        if (!entry.m_isOwned)
            continue;
        const UpstreamView &view = entry.m_tracker.view();
        UpstreamObservation observation;
        observation.m_key = key;
        observation.m_state = entry.m_schedule.state();
        observation.m_load = view.m_load;
        observation.m_totalInFlight = view.m_totalInFlight;
        observation.m_age = view.hasLoad() ? view.loadAge(now) : Duration::max();
        batch.m_observations.push_back(observation);
    }
    return batch;
}

UpstreamCommands UpstreamTable::onObservation(const NodeId &from,
                                              const UpstreamObservation &observation, TimePoint now)
{
    UpstreamCommands commands;
    UpstreamEntry *entry = m_entries.find(observation.m_key);
    if (!entry)
        return commands;
    const bool isOwner = entry->m_owners.includes(from);
    if (entry->m_owners.isFirst(from))
        entry->m_schedule.recordFirstOwnerReport(now);
    // Leaving and gone are sent as notices, which name their cause; here they carry no information.
    if (observation.m_state == UpstreamState::Suspect) {
        if (isOwner)
            entry->m_tracker.addSuspicion(from);
        return commands;
    }
    entry->m_tracker.clearSuspicion(from);
    const bool hasAge = observation.m_age < now.time_since_epoch();
    if (!hasAge || !entry->m_tracker.recordLoad(observation.m_load, now - observation.m_age))
        return commands;
    if (!entry->m_isOwned)
        entry->m_tracker.setInFlight(entry->m_tracker.view().m_ownInFlight,
                                     observation.m_totalInFlight);
    entry->m_tracker.recoverIfAnswered(now, commands);
    return commands;
}

void UpstreamTable::setInFlight(const UpstreamId &upstream, int count)
{
    UpstreamEntry *entry = m_entries.find(upstream);
    if (!entry || entry->m_tracker.view().m_ownInFlight == count)
        return;
    if (isLocal(entry->m_tracker.view().m_declaration))
        m_inFlightChanges.touch(entry->m_key);
    if (entry->m_isOwned)
        sumInFlight(*entry, count);
    else
        entry->m_tracker.setInFlight(count, entry->m_tracker.view().m_totalInFlight);
}

std::vector<InFlightReport> UpstreamTable::inFlightFor(const NodeId &owner,
                                                       std::int64_t version) const
{
    std::vector<InFlightReport> reports;
    const Changes<std::int64_t> changes = m_inFlightChanges.since(version, m_entries.size());
    for (const std::int64_t key : changes.m_keys) {
        const UpstreamEntry &entry = m_entries.at(key);
        if (entry.m_owners.includes(owner) || m_duty.isFullMesh())
            reports.push_back({key, entry.m_tracker.view().m_ownInFlight});
    }
    return reports;
}

void UpstreamTable::onInFlight(const NodeId &from, const InFlightReport &report)
{
    UpstreamEntry *entry = m_entries.find(report.m_key);
    if (!entry)
        return;
    entry->m_inFlight.set(from, report.m_count);
    sumInFlight(*entry, entry->m_tracker.view().m_ownInFlight);
}

void UpstreamTable::removeReports(const NodeId &node)
{
    for (auto &[upstream, entry] : m_entries) {
        entry.m_tracker.clearSuspicion(node);
        if (entry.m_inFlight.forget(node))
            sumInFlight(entry, entry.m_tracker.view().m_ownInFlight);
    }
}

void UpstreamTable::sumInFlight(UpstreamEntry &entry, int own)
{
    entry.m_tracker.setInFlight(own, own + entry.m_inFlight.sum());
}

// --- time -------------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::tick(TimePoint now, WallMillis wallNow)
{
    UpstreamCommands commands;
    if (now - m_lastSweep < sweepInterval)
        return commands;
    m_lastSweep = now;
    const Duration interval = m_duty.interval();
    const SilenceLimits limits{m_settings.m_goneAfter, 2 * interval, m_settings.m_longestSilence};
    for (auto &[upstream, entry] : m_entries) {
        const UpstreamLocality place = localityOf(entry.m_tracker.view().m_declaration);
        entry.m_tracker.updateByTime(place, entry.m_isListed, limits, now, wallNow, commands);
        if (entry.m_isOwned)
            probeIfDue(entry, interval, now, commands);
    }
    removeExpired(now);
    return commands;
}

void UpstreamTable::probeIfDue(UpstreamEntry &entry, Duration interval, TimePoint now,
                               UpstreamCommands &commands)
{
    if (now < entry.m_nextProbe)
        return;
    const UpstreamView &view = entry.m_tracker.view();
    const UpstreamDeclaration &declaration = view.m_declaration;
    const bool isGone = view.m_state == UpstreamState::Gone;
    if (isGone && !declaration.m_vm.isEmpty())
        return;
    // The first probe is sent immediately, the second at an offset derived from the key, so that
    // upstreams that were added by the same list are not probed at the same time.
    const bool isFirst = entry.m_nextProbe == TimePoint();
    const Duration phase = Duration(entry.m_key % interval.count());
    entry.m_nextProbe = now + (isFirst ? phase : interval * (isGone ? goneProbeFactor : 1));
    commands.push_back(
            ProbeUpstream{declaration.m_upstream, declaration.m_address, declaration.m_port});
}

// --- queries ----------------------------------------------------------------------------------

const UpstreamView *UpstreamTable::find(const UpstreamId &upstream) const
{
    const UpstreamEntry *entry = m_entries.find(upstream);
    return entry ? &entry->m_tracker.view() : nullptr;
}

std::vector<ServiceCapacity> UpstreamTable::capacity() const
{
    return m_entries.capacityOf(m_settings.m_dataCentre);
}

RouteScope UpstreamTable::routeScope(const ServiceId &service,
                                     const std::map<DataCentreId, ReceivedSummary> &summaries,
                                     TimePoint now) const
{
    const OwnCapacity room = m_entries.openCapacityOf(service, m_settings.m_dataCentre);
    return chooseRouteScope(room, service, m_settings.m_remoteScope, summaries,
                            m_settings.m_longestSummaryAge, now);
}

} // namespace gypsumdale
