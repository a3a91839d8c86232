#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/fleet/upstream_key.hpp>
#include <gypsumdale/fleet/upstream_table.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm> // all_of, clamp, find, max, sort, stable_sort
#include <cstdlib> // abs
#include <iterator> // next

namespace gypsumdale {

namespace {

/// So many lists in a row must miss a VM.
constexpr int missesUntilBelieved = 2;
/// A list that loses more than this part of its VMs at once is not believed against their answers.
constexpr std::size_t massiveLossDivisor = 2;
constexpr std::size_t fewestForMassiveLoss = 4;
/// A load is told early when it changed by more than this part of the slots.
constexpr int notableChangeDivisor = 8;
/// The second owner speaks up when the first one was silent for so many probe intervals.
constexpr int firstOwnerSilence = 3;
/// A process that is gone is probed this much more rarely, in case it comes back.
constexpr int goneProbeFactor = 4;
/// How often all entries are gone through; what runs out in between is seen so much later. At 1,100
/// upstreams a sweep on every tick was most of the control work of a node.
constexpr Duration sweepInterval = std::chrono::milliseconds(200);
constexpr int nanosPerMilli = 1000000;

std::int64_t hashOf(const std::string &text)
{
    return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()));
}

bool isNotable(const UpstreamLoad &before, const UpstreamLoad &after)
{
    if (before.m_incarnation != after.m_incarnation || before.m_slots != after.m_slots)
        return true;
    const int step = std::max(1, after.m_slots / notableChangeDivisor);
    const int change = (after.m_running + after.m_queued) - (before.m_running + before.m_queued);
    return std::abs(change) >= step;
}

Duration untilDeadline(const LeavingNotice &notice, WallMillis wallNow)
{
    const WallMillis left = notice.m_deadline == 0 ? 0 : notice.m_deadline - wallNow;
    return std::chrono::milliseconds(std::max<WallMillis>(left, 0));
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableSettings settings)
    : m_settings(std::move(settings))
    , m_nodes({m_settings.m_self})
{}

// --- entries ----------------------------------------------------------------------------------

bool UpstreamTable::isOwnDataCentre(const Entry &entry) const
{
    return entry.m_view.m_declaration.m_dataCentre == m_settings.m_dataCentre;
}

UpstreamTable::Entry *UpstreamTable::entryOf(const UpstreamId &upstream)
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

UpstreamTable::Entry *UpstreamTable::entryOf(std::int64_t key)
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : entryOf(found->second);
}

UpstreamTable::Entry &UpstreamTable::insert(const UpstreamDeclaration &declaration, TimePoint now)
{
    Entry &entry = m_entries[declaration.m_upstream];
    entry.m_key = upstreamKey(declaration.m_upstream);
    entry.m_view.m_declaration = declaration;
    entry.m_view.m_stateSince = now;
    entry.m_view.m_reason = "not heard yet";
    m_byKey.try_emplace(entry.m_key, declaration.m_upstream);
    m_byService[{declaration.m_service, declaration.m_dataCentre}].insert(declaration.m_upstream);
    chooseOwners(entry);
    if (!isOwnDataCentre(entry)) {
        entry.m_view.m_state = UpstreamState::Live;
        entry.m_view.m_reason = "declared; its own data centre watches it";
    }
    return entry;
}

void UpstreamTable::remove(const UpstreamId &upstream)
{
    const auto found = m_entries.find(upstream);
    const Entry &entry = found->second;
    const UpstreamDeclaration &declaration = entry.m_view.m_declaration;
    const ServiceGroup group{declaration.m_service, declaration.m_dataCentre};
    m_byService[group].erase(upstream);
    if (m_byService[group].empty())
        m_byService.erase(group);
    const auto key = m_byKey.find(entry.m_key);
    if (key != m_byKey.end() && key->second == upstream)
        m_byKey.erase(key);
    m_ownedCount -= entry.m_isOwned ? 1 : 0;
    m_changes.forget(entry.m_key);
    m_inFlightChanges.forget(entry.m_key);
    m_entries.erase(found);
}

void UpstreamTable::redeclare(Entry &entry, const UpstreamDeclaration &declaration)
{
    UpstreamDeclaration &held = entry.m_view.m_declaration;
    if (held == declaration)
        return;
    m_byService[{held.m_service, held.m_dataCentre}].erase(held.m_upstream);
    held = declaration;
    m_byService[{held.m_service, held.m_dataCentre}].insert(held.m_upstream);
    chooseOwners(entry);
}

UpstreamCommands UpstreamTable::setStatic(const std::vector<UpstreamDeclaration> &declared,
                                          TimePoint now)
{
    UpstreamCommands commands;
    std::set<UpstreamId> named;
    for (const UpstreamDeclaration &declaration : declared) {
        named.insert(declaration.m_upstream);
        Entry *held = entryOf(declaration.m_upstream);
        Entry &entry = held ? *held : insert(declaration, now);
        redeclare(entry, declaration);
        entry.m_isStatic = true;
        if (!held)
            applyKeptNotices(entry, now, commands);
    }
    std::vector<UpstreamId> dropped;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.m_isStatic && !named.contains(upstream))
            dropped.push_back(upstream);
    }
    for (const UpstreamId &upstream : dropped) {
        setState(m_entries.at(upstream), UpstreamState::Gone, "no longer in the settings", now,
                 commands);
        remove(upstream);
    }
    return commands;
}

void UpstreamTable::setState(Entry &entry, UpstreamState state, std::string reason, TimePoint now,
                             UpstreamCommands &commands)
{
    UpstreamView &view = entry.m_view;
    if (view.m_state == state)
        return;
    view.m_state = state;
    view.m_stateSince = now;
    view.m_reason = std::move(reason);
    commands.push_back(UpstreamStateChanged{view.m_declaration.m_upstream, state, view.m_reason,
                                            view.m_deadline});
}

// --- owners -----------------------------------------------------------------------------------

void UpstreamTable::chooseOwners(Entry &entry)
{
    m_ownedCount -= entry.m_isOwned ? 1 : 0;
    entry.m_isOwned = false;
    entry.m_owners.clear();
    if (!isOwnDataCentre(entry))
        return;
    const std::string &name = entry.m_view.m_declaration.m_upstream.text();
    entry.m_owners = rendezvousChoice(name, m_nodes, m_settings.m_owners);
    const auto &owners = entry.m_owners;
    entry.m_isOwned = std::find(owners.begin(), owners.end(), m_settings.m_self) != owners.end();
    m_ownedCount += entry.m_isOwned ? 1 : 0;
    std::erase_if(entry.m_suspectedBy, [&](const NodeId &node) {
        return std::find(owners.begin(), owners.end(), node) == owners.end();
    });
}

void UpstreamTable::setNodes(const std::vector<NodeId> &nodes)
{
    if (nodes == m_nodes)
        return;
    const bool wasSmall = isSmall();
    m_nodes = nodes;
    const bool isSizeNew = wasSmall != isSmall();
    for (auto &[upstream, entry] : m_entries) {
        chooseOwners(entry);
        // A new owner does not know what this node has there; nor, when the data centre shrank to a
        // small one, do the nodes that were not told before.
        if (entry.m_view.m_ownInFlight > 0 || isSizeNew)
            m_inFlightChanges.touch(entry.m_key);
    }
}

const std::vector<NodeId> &UpstreamTable::ownersOf(const UpstreamId &upstream) const
{
    static const std::vector<NodeId> none;
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? none : found->second.m_owners;
}

bool UpstreamTable::isSmall() const
{
    return m_nodes.size() <= m_settings.m_fewNodes;
}

Duration UpstreamTable::probeInterval() const
{
    const std::chrono::duration<double> affordable(static_cast<double>(m_ownedCount)
                                                   / m_settings.m_probesPerSecond);
    const auto wanted = std::chrono::duration_cast<Duration>(affordable);
    return std::clamp(wanted, m_settings.m_probeInterval, m_settings.m_longestProbeInterval);
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
        Entry *held = entryOf(declaration.m_upstream);
        Entry &entry = held ? *held : insert(declaration, now);
        redeclare(entry, declaration);
        entry.m_isListed = true;
        entry.m_missedLists = 0;
        if (!held)
            applyKeptNotices(entry, now, commands);
        if (!item.m_isLeaving || entry.m_isVmLeaving)
            continue;
        const LeavingNotice notice = listedLeavingNotice(declaration.m_vm);
        UpstreamCommands noticed = onNotice(notice, NoticeSource::Here, now, wallNow);
        commands.insert(commands.end(), noticed.begin(), noticed.end());
    }
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[upstream, entry] : m_entries) {
        if (!entry.m_isListed || entry.m_isVmLeaving)
            continue;
        ++known;
        missing += shown.contains(upstream) ? 0 : 1;
    }
    const bool isMassive = known >= fewestForMassiveLoss && missing * massiveLossDivisor > known;
    takeMissing(isMassive, shown, now, commands);
    return commands;
}

void UpstreamTable::takeMissing(bool isMassive, const std::set<UpstreamId> &listed, TimePoint now,
                                UpstreamCommands &commands)
{
    for (auto &[upstream, entry] : m_entries) {
        if (!entry.m_isListed || listed.contains(upstream))
            continue;
        ++entry.m_missedLists;
        // Two reads of a lagging list may come from replicas of different age: one that misses a VM
        // proves nothing, and leaving could not be undone.
        if (entry.m_missedLists < missesUntilBelieved)
            continue;
        // A list that comes cut short shows as most VMs missing at once. Were it believed, a fault
        // of the cloud's interface would stop all service; VMs that answer are still there.
        const bool answers = now - entry.m_lastAnswer < 2 * m_settings.m_shareInterval;
        if (isMassive && answers)
            continue;
        entry.m_isListed = false;
        if (entry.m_isStatic || entry.m_view.m_state == UpstreamState::Gone)
            continue;
        entry.m_isVmLeaving = true;
        setState(entry, UpstreamState::Leaving, "the VM list no longer shows it", now, commands);
    }
}

// --- notices ----------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::onNotice(const LeavingNotice &notice, NoticeSource source,
                                         TimePoint now, WallMillis wallNow)
{
    UpstreamCommands commands;
    if (m_notices.contains(notice.m_id) || m_expiredNotices.contains(notice.m_id))
        return commands;
    const Duration left = untilDeadline(notice, wallNow);
    const bool isLate =
            notice.m_deadline != 0
            && wallNow - notice.m_deadline > m_settings.m_listLag.count() / nanosPerMilli;
    KeptNotice kept{notice, now, now + left + m_settings.m_listLag,
                    now + left + m_settings.m_noticeRetention};
    m_notices.emplace(notice.m_id, kept);
    m_noticesDigest ^= hashOf(notice.m_id);
    // After a long cut an old zone notice may arrive when the zone has new VMs; it is not for them.
    if (isLate && notice.m_cause == LeavingCause::ZoneReclaim)
        return commands;
    applyNotice(notice, now, commands);
    if (source != NoticeSource::OwnDataCentre)
        commands.push_back(SpreadNotice{notice, source == NoticeSource::Here});
    return commands;
}

void UpstreamTable::applyNotice(const LeavingNotice &notice, TimePoint now,
                                UpstreamCommands &commands)
{
    if (!notice.m_upstream.isEmpty()) {
        if (Entry *entry = entryOf(notice.m_upstream))
            setLeaving(*entry, notice, now, commands);
        return;
    }
    for (auto &[upstream, entry] : m_entries) {
        const UpstreamDeclaration &declaration = entry.m_view.m_declaration;
        const bool isByVm = !notice.m_vm.isEmpty() && declaration.m_vm == notice.m_vm;
        const bool isByZone = notice.m_vm.isEmpty() && declaration.m_dataCentre == notice.m_zone;
        if (isByVm || isByZone)
            setLeaving(entry, notice, now, commands);
    }
}

void UpstreamTable::applyKeptNotices(Entry &entry, TimePoint now, UpstreamCommands &commands)
{
    const UpstreamDeclaration &declaration = entry.m_view.m_declaration;
    for (const auto &[id, kept] : m_notices) {
        const LeavingNotice &notice = kept.m_notice;
        const bool isByName =
                !notice.m_upstream.isEmpty() && notice.m_upstream == declaration.m_upstream;
        const bool isByVm = !notice.m_vm.isEmpty() && notice.m_vm == declaration.m_vm;
        if (isByName || isByVm) {
            setLeaving(entry, notice, now, commands);
            continue;
        }
        // The list lags: a VM that it shows first after its zone's notice may have been there
        // before. It is held back until those under the notice are gone; one that then still
        // answers is a new one.
        const bool isByZone = notice.m_cause == LeavingCause::ZoneReclaim
                              && notice.m_zone == declaration.m_dataCentre;
        if (!isByZone || now >= kept.m_heldUntil)
            continue;
        entry.m_heldUntil = std::max(entry.m_heldUntil, kept.m_heldUntil);
        setState(entry, UpstreamState::Leaving, "appeared right after its zone's reclaim notice",
                 now, commands);
    }
}

void UpstreamTable::setLeaving(Entry &entry, const LeavingNotice &notice, TimePoint now,
                               UpstreamCommands &commands)
{
    UpstreamView &view = entry.m_view;
    const bool isProcess =
            notice.m_cause == LeavingCause::OperatorDrain || view.m_declaration.m_vm.isEmpty();
    if (!isProcess) {
        entry.m_isVmLeaving = true;
    } else {
        const Incarnation incarnation =
                notice.m_incarnation != 0 ? notice.m_incarnation : view.m_load.m_incarnation;
        if (incarnation < view.m_load.m_incarnation)
            return;
        entry.m_leavingIncarnation = incarnation;
    }
    const bool isNearer = view.m_deadline == 0 || notice.m_deadline < view.m_deadline;
    if (notice.m_deadline != 0 && isNearer)
        view.m_deadline = notice.m_deadline;
    if (view.m_state == UpstreamState::Gone)
        return;
    setState(entry, UpstreamState::Leaving, std::string(nameIn(leavingCauseNames, notice.m_cause)),
             now, commands);
}

UpstreamCommands UpstreamTable::drain(const UpstreamId &upstream, TimePoint now, WallMillis wallNow)
{
    const Entry *entry = entryOf(upstream);
    if (!entry)
        return {};
    const Incarnation incarnation = entry->m_view.m_load.m_incarnation;
    return onNotice(drainNotice(upstream, incarnation, wallNow), NoticeSource::Here, now, wallNow);
}

std::vector<LeavingNotice> UpstreamTable::notices() const
{
    std::vector<LeavingNotice> result;
    for (const auto &[id, kept] : m_notices)
        result.push_back(kept.m_notice);
    return result;
}

void UpstreamTable::forgetOld(TimePoint now)
{
    for (auto entry = m_notices.begin(); entry != m_notices.end();) {
        if (now < entry->second.m_expiresAt) {
            ++entry;
            continue;
        }
        m_noticesDigest ^= hashOf(entry->first);
        m_expiredNotices.emplace(entry->first, now + m_settings.m_noticeRetention);
        entry = m_notices.erase(entry);
    }
    std::erase_if(m_expiredNotices, [&](const auto &entry) { return now >= entry.second; });

    std::vector<UpstreamId> old;
    for (const auto &[upstream, entry] : m_entries) {
        const bool isGone = entry.m_view.m_state == UpstreamState::Gone && !entry.m_isStatic;
        const Duration age = now - entry.m_view.m_stateSince;
        if (isGone && !entry.m_isListed && age > m_settings.m_noticeRetention)
            old.push_back(upstream);
    }
    for (const UpstreamId &upstream : old)
        remove(upstream);
}

// --- load -------------------------------------------------------------------------------------

bool UpstreamTable::takeLoad(Entry &entry, const UpstreamLoad &load, TimePoint observedAt)
{
    UpstreamView &view = entry.m_view;
    const bool isOlderProcess = load.m_incarnation < view.m_load.m_incarnation;
    const bool isOlderWord =
            load.m_incarnation == view.m_load.m_incarnation && observedAt < view.m_loadAt;
    if (isOlderProcess || isOlderWord)
        return false;
    view.m_load = load;
    view.m_loadAt = observedAt;
    entry.m_lastAnswer = std::max(entry.m_lastAnswer, observedAt);
    return true;
}

void UpstreamTable::reviveIfRestarted(Entry &entry, TimePoint now, UpstreamCommands &commands)
{
    if (!entry.m_leavingIncarnation)
        return;
    const Incarnation incarnation = entry.m_view.m_load.m_incarnation;
    if (*entry.m_leavingIncarnation == 0)
        entry.m_leavingIncarnation = incarnation;
    if (incarnation <= *entry.m_leavingIncarnation)
        return;
    entry.m_leavingIncarnation.reset();
    const bool isHeld = now < entry.m_heldUntil;
    if (entry.m_isVmLeaving || isHeld)
        return;
    entry.m_view.m_deadline = 0;
    setState(entry, UpstreamState::Suspect, "started anew", now, commands);
}

void UpstreamTable::reviveIfHeard(Entry &entry, TimePoint now, UpstreamCommands &commands)
{
    reviveIfRestarted(entry, now, commands);
    if (entry.m_view.m_state == UpstreamState::Suspect && now >= entry.m_penaltyUntil)
        setState(entry, UpstreamState::Live, "it answers", now, commands);
}

UpstreamCommands UpstreamTable::onLoad(const UpstreamId &upstream, const UpstreamLoad &load,
                                       TimePoint now)
{
    UpstreamCommands commands;
    Entry *entry = entryOf(upstream);
    if (!entry || !takeLoad(*entry, load, now))
        return commands;
    entry->m_failedProbes = 0;
    entry->m_suspectedBy.erase(m_settings.m_self);
    reviveIfHeard(*entry, now, commands);
    shareIfDue(*entry, now);
    return commands;
}

UpstreamCommands UpstreamTable::onProbeFailed(const UpstreamId &upstream, const std::string &reason,
                                              TimePoint now)
{
    UpstreamCommands commands;
    Entry *entry = entryOf(upstream);
    // A probe may fail when this node no longer owns the upstream. Its suspicion would stand for
    // good, as only the next probe takes it back: requests avoided a sound upstream until the
    // process restarted.
    if (!entry || !entry->m_isOwned)
        return commands;
    ++entry->m_failedProbes;
    if (entry->m_failedProbes < m_settings.m_suspectAfterFailures)
        return commands;
    entry->m_suspectedBy.insert(m_settings.m_self);
    if (entry->m_view.m_state == UpstreamState::Live)
        setState(*entry, UpstreamState::Suspect, "probes fail: " + reason, now, commands);
    shareIfDue(*entry, now);
    return commands;
}

UpstreamCommands UpstreamTable::onRequestFailed(const UpstreamId &upstream,
                                                const std::string &reason, TimePoint now)
{
    UpstreamCommands commands;
    Entry *entry = entryOf(upstream);
    if (!entry)
        return commands;
    entry->m_penaltyUntil = now + m_settings.m_failurePenalty;
    if (entry->m_view.m_state == UpstreamState::Live)
        setState(*entry, UpstreamState::Suspect, "a request failed: " + reason, now, commands);
    // An owner finds out at once whether the upstream or only the connection was lost.
    entry->m_nextProbe = std::min(entry->m_nextProbe, now);
    return commands;
}

UpstreamCommands UpstreamTable::onRequestSucceeded(const UpstreamId &upstream, TimePoint now)
{
    UpstreamCommands commands;
    Entry *entry = entryOf(upstream);
    if (!entry)
        return commands;
    entry->m_penaltyUntil = TimePoint();
    entry->m_lastAnswer = now;
    if (entry->m_view.m_state == UpstreamState::Suspect)
        setState(*entry, UpstreamState::Live, "a request succeeded", now, commands);
    return commands;
}

// --- what owners share ------------------------------------------------------------------------

void UpstreamTable::shareIfDue(Entry &entry, TimePoint now)
{
    if (!entry.m_isOwned)
        return;
    const UpstreamState state = entry.m_suspectedBy.contains(m_settings.m_self)
                                        ? UpstreamState::Suspect
                                        : entry.m_view.m_state;
    const bool isFirst = entry.m_owners.front() == m_settings.m_self;
    const bool isFirstSilent =
            now - entry.m_firstOwnerSpokeAt
            > firstOwnerSilence * std::max(probeInterval(), m_settings.m_shareInterval);
    const bool isNews =
            state != entry.m_sharedState || isNotable(entry.m_sharedLoad, entry.m_view.m_load);
    const bool isDue = now - entry.m_sharedAt >= m_settings.m_shareInterval;
    const bool isStateNews = state != entry.m_sharedState;
    // The second owner would only repeat the first: it speaks of changes of state, and for a first
    // one that fell silent.
    const bool speaks = isStateNews || ((isFirst || isFirstSilent) && (isNews || isDue));
    if (!speaks)
        return;
    entry.m_sharedState = state;
    share(entry, now);
}

void UpstreamTable::share(Entry &entry, TimePoint now)
{
    entry.m_sharedLoad = entry.m_view.m_load;
    entry.m_sharedAt = now;
    m_changes.touch(entry.m_key);
}

ObservationBatch UpstreamTable::observationsSince(std::int64_t version, std::size_t limit,
                                                  TimePoint now) const
{
    const Changes<std::int64_t> changes = m_changes.since(version, limit);
    ObservationBatch batch;
    batch.m_upTo = changes.m_upTo;
    for (const std::int64_t key : changes.m_keys) {
        const Entry &entry = m_entries.at(m_byKey.at(key));
        if (!entry.m_isOwned)
            continue;
        UpstreamObservation observation;
        observation.m_key = key;
        observation.m_state = entry.m_sharedState;
        observation.m_load = entry.m_view.m_load;
        observation.m_totalInFlight = entry.m_view.m_totalInFlight;
        observation.m_age = entry.m_view.hasLoad() ? entry.m_view.loadAge(now) : Duration::max();
        batch.m_observations.push_back(observation);
    }
    return batch;
}

UpstreamCommands UpstreamTable::onObservation(const NodeId &from,
                                              const UpstreamObservation &observation, TimePoint now)
{
    UpstreamCommands commands;
    Entry *entry = entryOf(observation.m_key);
    if (!entry)
        return commands;
    const bool isOwner = std::find(entry->m_owners.begin(), entry->m_owners.end(), from)
                         != entry->m_owners.end();
    if (isOwner && entry->m_owners.front() == from)
        entry->m_firstOwnerSpokeAt = now;
    // Leaving and gone travel as notices, which name their cause; here they say nothing.
    if (observation.m_state == UpstreamState::Suspect) {
        if (isOwner)
            entry->m_suspectedBy.insert(from);
        return commands;
    }
    entry->m_suspectedBy.erase(from);
    const bool hasAge = observation.m_age < now.time_since_epoch();
    if (!hasAge || !takeLoad(*entry, observation.m_load, now - observation.m_age))
        return commands;
    if (!entry->m_isOwned)
        entry->m_view.m_totalInFlight = observation.m_totalInFlight;
    reviveIfHeard(*entry, now, commands);
    return commands;
}

void UpstreamTable::setInFlight(const UpstreamId &upstream, int count)
{
    Entry *entry = entryOf(upstream);
    if (!entry || entry->m_view.m_ownInFlight == count)
        return;
    entry->m_view.m_ownInFlight = count;
    if (isOwnDataCentre(*entry))
        m_inFlightChanges.touch(entry->m_key);
    if (entry->m_isOwned)
        sumInFlight(*entry);
}

std::vector<InFlightReport> UpstreamTable::inFlightFor(const NodeId &owner,
                                                       std::int64_t version) const
{
    std::vector<InFlightReport> reports;
    const Changes<std::int64_t> changes = m_inFlightChanges.since(version, m_entries.size());
    for (const std::int64_t key : changes.m_keys) {
        const Entry &entry = m_entries.at(m_byKey.at(key));
        const auto &owners = entry.m_owners;
        const bool isOwner = std::find(owners.begin(), owners.end(), owner) != owners.end();
        if (isOwner || isSmall())
            reports.push_back({key, entry.m_view.m_ownInFlight});
    }
    return reports;
}

void UpstreamTable::onInFlight(const NodeId &from, const InFlightReport &report)
{
    Entry *entry = entryOf(report.m_key);
    if (!entry)
        return;
    if (report.m_count == 0)
        entry->m_inFlightOf.erase(from);
    else
        entry->m_inFlightOf[from] = report.m_count;
    sumInFlight(*entry);
}

void UpstreamTable::forgetReports(const NodeId &node)
{
    for (auto &[upstream, entry] : m_entries) {
        entry.m_suspectedBy.erase(node);
        if (entry.m_inFlightOf.erase(node) != 0)
            sumInFlight(entry);
    }
}

void UpstreamTable::sumInFlight(Entry &entry)
{
    int total = entry.m_view.m_ownInFlight;
    for (const auto &[node, count] : entry.m_inFlightOf)
        total += count;
    entry.m_view.m_totalInFlight = total;
}

// --- time -------------------------------------------------------------------------------------

UpstreamCommands UpstreamTable::tick(TimePoint now, WallMillis wallNow)
{
    UpstreamCommands commands;
    if (now - m_lastSweep < sweepInterval)
        return commands;
    m_lastSweep = now;
    const Duration interval = probeInterval();
    for (auto &[upstream, entry] : m_entries) {
        settle(entry, now, wallNow, commands);
        if (entry.m_isOwned)
            probeIfDue(entry, interval, now, commands);
    }
    forgetOld(now);
    return commands;
}

void UpstreamTable::probeIfDue(Entry &entry, Duration interval, TimePoint now,
                               UpstreamCommands &commands)
{
    if (now < entry.m_nextProbe)
        return;
    const UpstreamView &view = entry.m_view;
    const UpstreamDeclaration &declaration = view.m_declaration;
    const bool isGone = view.m_state == UpstreamState::Gone;
    if (isGone && !declaration.m_vm.isEmpty())
        return;
    // The first probe is at once, the second at a time of its own, so that those that came in one
    // list do not stay in step.
    const bool isFirst = entry.m_nextProbe == TimePoint();
    const Duration phase = Duration(entry.m_key % interval.count());
    entry.m_nextProbe = now + (isFirst ? phase : interval * (isGone ? goneProbeFactor : 1));
    commands.push_back(
            ProbeUpstream{declaration.m_upstream, declaration.m_address, declaration.m_port});
}

void UpstreamTable::settle(Entry &entry, TimePoint now, WallMillis wallNow,
                           UpstreamCommands &commands)
{
    if (entry.m_view.m_state == UpstreamState::Leaving)
        settleLeaving(entry, now, wallNow, commands);
    else if (entry.m_view.m_state == UpstreamState::Live)
        settleOpen(entry, now, commands);
    else if (entry.m_view.m_state == UpstreamState::Suspect && !isOwnDataCentre(entry)
             && now >= entry.m_penaltyUntil)
        setState(entry, UpstreamState::Live, "the penalty is over", now, commands);
}

void UpstreamTable::settleLeaving(Entry &entry, TimePoint now, WallMillis wallNow,
                                  UpstreamCommands &commands)
{
    const UpstreamView &view = entry.m_view;
    const bool isMarked = entry.m_isVmLeaving || entry.m_leavingIncarnation.has_value();
    if (!isMarked && now >= entry.m_heldUntil) {
        setState(entry, UpstreamState::Suspect, "held back no longer", now, commands);
        return;
    }
    const bool isSilent = now - entry.m_lastAnswer >= m_settings.m_goneAfter;
    const bool isOver = view.m_deadline != 0 && wallNow >= view.m_deadline;
    const bool isDelisted = entry.m_isVmLeaving && !entry.m_isListed;
    if (isSilent && (isOver || isDelisted))
        setState(entry, UpstreamState::Gone, "it left", now, commands);
}

void UpstreamTable::settleOpen(Entry &entry, TimePoint now, UpstreamCommands &commands)
{
    if (!isOwnDataCentre(entry))
        return;
    const Duration silence = now - entry.m_lastAnswer;
    const bool isSuspected = !entry.m_suspectedBy.empty() && silence >= 2 * probeInterval();
    if (isSuspected) {
        const std::string reason = entry.m_suspectedBy.begin()->text() + " cannot reach it";
        setState(entry, UpstreamState::Suspect, reason, now, commands);
    } else if (silence >= m_settings.m_longestSilence) {
        setState(entry, UpstreamState::Suspect, "nobody spoke of it lately", now, commands);
    }
}

// --- what is known ----------------------------------------------------------------------------

const UpstreamView *UpstreamTable::find(const UpstreamId &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second.m_view;
}

std::vector<UpstreamView> UpstreamTable::views() const
{
    std::vector<UpstreamView> result;
    for (const auto &[group, upstreams] : m_byService) {
        for (const UpstreamId &upstream : upstreams)
            result.push_back(m_entries.at(upstream).m_view);
    }
    return result;
}

std::vector<UpstreamView> UpstreamTable::candidates(const ServiceId &service,
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

std::vector<ServiceCapacity> UpstreamTable::capacity() const
{
    std::vector<ServiceCapacity> result;
    for (const auto &[group, upstreams] : m_byService) {
        const auto &[service, dataCentre] = group;
        if (dataCentre != m_settings.m_dataCentre)
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

RouteScope UpstreamTable::routeScope(const ServiceId &service,
                                     const std::map<DataCentreId, ReceivedSummary> &summaries,
                                     TimePoint now) const
{
    bool hasOpen = false;
    bool hasLive = false;
    bool hasRoom = false;
    forEachCandidate(service, m_settings.m_dataCentre, [&](const UpstreamView &view) {
        hasOpen = true;
        if (view.m_state != UpstreamState::Live)
            return;
        hasLive = true;
        const UpstreamLoad &load = view.m_load;
        const int taken = std::max(load.m_running + load.m_queued, view.m_totalInFlight);
        hasRoom = hasRoom || load.m_slots == 0 || taken < load.m_slots;
    });
    const RemoteScope scope = m_settings.m_remoteScope;
    const bool staysHere = hasRoom || (hasLive && scope != RemoteScope::WhenFull);
    if (staysHere || (hasOpen && scope == RemoteScope::Never))
        return RouteOwn{};
    if (scope == RemoteScope::Never)
        return RouteNowhere{"no upstream here, and settings forbid other data centres"};

    std::vector<std::pair<int, DataCentreId>> spare;
    for (const auto &[dataCentre, received] : summaries) {
        if (now - received.m_receivedAt > m_settings.m_longestSummaryAge)
            continue;
        for (const ServiceCapacity &capacity : received.m_summary.m_services) {
            const int room = capacity.m_slots - capacity.m_running - capacity.m_queued;
            if (capacity.m_service == service && capacity.m_upstreams > 0 && room > 0)
                spare.emplace_back(-room, dataCentre);
        }
    }
    if (spare.empty() && hasOpen)
        return RouteOwn{};
    if (spare.empty())
        return RouteNowhere{"no upstream here, and no other data centre has room"};
    std::sort(spare.begin(), spare.end());
    RouteRemote remote;
    for (auto &[room, dataCentre] : spare)
        remote.m_dataCentres.push_back(std::move(dataCentre));
    return remote;
}

} // namespace gypsumdale
