#include <gypsumdale/policy/admission_upstreams.hpp>

#include <algorithm> // any_of, max, min
#include <utility> // move

namespace gypsumdale {

namespace {

/// An engine that queues more than its slots divided by this is busy with requests of other VMs.
constexpr std::uint32_t maxQueuedDivisor = 4;

Duration reportAge(const UpstreamReport &state, TimePoint now)
{
    return state.m_reportedAt == TimePoint::min() ? Duration::max() : now - state.m_reportedAt;
}

} // namespace

AdmissionUpstreams::AdmissionUpstreams(AdmissionLocation location,
                                       const AdmissionSettings &settings)
    : m_location(std::move(location))
    , m_settings(settings)
    , m_peers(m_location.m_node, settings.m_slots, settings.m_peerMaxAge)
    , m_outlier(settings.m_outlier)
{}

// --- peers and reports ------------------------------------------------------------------------

void AdmissionUpstreams::setNodes(std::vector<NodeId> nodes)
{
    m_peers.setNodes(std::move(nodes));
    recomputePeerCharges();
}

bool AdmissionUpstreams::mergePeer(const NodeId &peer, std::uint64_t incarnation,
                                   const InFlightByUpstream &inFlight, TimePoint now)
{
    if (m_peers.isSuperseded(peer, incarnation))
        return false;
    if (m_peers.isStale(peer)) {
        m_peers.merge(peer, incarnation, inFlight, now);
        recomputePeerCharges();
        return true;
    }
    // Updates only the affected upstreams, as recomputing all for each heartbeat would cost nodes
    // times upstreams.
    InFlightByUpstream affected = m_peers.reportOf(peer);
    affected.insert(inFlight.begin(), inFlight.end());
    const auto chargeOf = [&](const Upstream &upstream) {
        return m_peers.chargeOf(peer, upstream.m_state.m_upstream, upstream.m_state.m_slots);
    };
    for (const auto &[id, count] : affected) {
        const auto found = m_upstreams.find(id);
        if (found != m_upstreams.end())
            found->second.m_peers -= std::min(found->second.m_peers, chargeOf(found->second));
    }
    m_peers.merge(peer, incarnation, inFlight, now);
    for (const auto &[id, count] : affected) {
        const auto found = m_upstreams.find(id);
        if (found != m_upstreams.end())
            found->second.m_peers += chargeOf(found->second);
    }
    return true;
}

void AdmissionUpstreams::recomputePeerCharges()
{
    for (auto &[id, upstream] : m_upstreams)
        upstream.m_peers = m_peers.chargeAt(id, upstream.m_state.m_slots);
}

bool AdmissionUpstreams::update(const UpstreamReport &report)
{
    const auto [found, isNew] = m_upstreams.try_emplace(report.m_upstream);
    Upstream &upstream = found->second;
    if (!isNew && report.m_incarnation < upstream.m_state.m_incarnation)
        return false;
    const bool isRestarted = !isNew && report.m_incarnation > upstream.m_state.m_incarnation;
    if (isRestarted) {
        m_outlier.forget(report.m_upstream);
        upstream.m_measures = {};
    }
    const bool wasLeaving = !isNew && !isRestarted && upstream.m_state.m_isLeaving;
    upstream.m_state = report;
    upstream.m_state.m_isLeaving = report.m_isLeaving || wasLeaving;
    upstream.m_isRemoved = false;
    upstream.m_peers = m_peers.chargeAt(report.m_upstream, report.m_slots);
    m_outlier.setFleetSize(m_upstreams.size());
    return isRestarted;
}

bool AdmissionUpstreams::remove(const UpstreamId &upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return false;
    m_outlier.forget(upstream);
    found->second.m_state.m_isLeaving = true;
    found->second.m_isRemoved = true;
    if (found->second.m_own == 0)
        m_upstreams.erase(found);
    m_outlier.setFleetSize(m_upstreams.size());
    return true;
}

void AdmissionUpstreams::refresh(TimePoint now)
{
    m_outlier.checkSilence(now);
    if (m_peers.markStalePeers(now))
        recomputePeerCharges();
}

// --- own requests -----------------------------------------------------------------------------

std::uint64_t AdmissionUpstreams::dispatched(const UpstreamId &id, TimePoint now)
{
    Upstream &upstream = m_upstreams.at(id);
    ++upstream.m_own;
    upstream.m_history.note(now, upstream.m_own, m_settings.m_slots.m_window);
    upstream.m_recent.add(now, std::max(m_settings.m_slots.m_window, m_settings.m_reportMaxAge));
    m_outlier.dispatched(id, now);
    return upstream.m_state.m_incarnation;
}

void AdmissionUpstreams::firstToken(const UpstreamId &upstream, Duration taken, TimePoint now)
{
    m_outlier.heard(upstream, now);
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second.m_measures.recordFirstTokenTime(taken, now);
}

void AdmissionUpstreams::tokens(const UpstreamId &upstream, std::uint32_t count, Duration passed,
                                TimePoint now)
{
    m_outlier.heard(upstream, now);
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end() && passed > Duration{})
        found->second.m_measures.recordTokenInterval(count, passed);
}

void AdmissionUpstreams::ended(const UpstreamId &id, std::uint64_t incarnation, AttemptEnd end,
                               TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    Upstream &upstream = found->second;
    --upstream.m_own;
    upstream.m_history.note(now, upstream.m_own, m_settings.m_slots.m_window);
    if (incarnation == upstream.m_state.m_incarnation)
        recordEnd(upstream, end, now);
    if (upstream.m_isRemoved && upstream.m_own == 0)
        m_upstreams.erase(found);
}

void AdmissionUpstreams::recordEnd(Upstream &upstream, AttemptEnd end, TimePoint now)
{
    const UpstreamId &id = upstream.m_state.m_upstream;
    switch (end) {
    case AttemptEnd::Completed:
        m_outlier.onSuccess(id, now);
        return;
    case AttemptEnd::Abandoned:
        m_outlier.onAbandoned(id);
        return;
    case AttemptEnd::Failed:
    case AttemptEnd::Refused:
        break;
    }
    m_outlier.onFailure(id, now);
    upstream.m_measures.recordFailure(now);
}

std::uint32_t AdmissionUpstreams::inFlightAt(const UpstreamId &upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.m_own;
}

InFlightByUpstream AdmissionUpstreams::inFlight() const
{
    InFlightByUpstream result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.m_own > 0)
            result[id] = upstream.m_own;
    }
    return result;
}

// --- slots ------------------------------------------------------------------------------------

bool AdmissionUpstreams::hasNonLeavingUpstream() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto &entry) { return !entry.second.m_state.m_isLeaving; });
}

SlotCount AdmissionUpstreams::countSlots(TimePoint now) const
{
    SlotCount count;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!isUsable(upstream, now))
            continue;
        count.m_used += upstream.m_own;
        count.m_available += availableSlots(upstream, now);
    }
    return count;
}

std::uint32_t AdmissionUpstreams::availableSlots(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    if (state.m_dataCentre != m_location.m_dataCentre)
        return hasRemoteSlot(upstream, now) ? remoteAllowance(state) : upstream.m_own;
    const auto nodes = m_peers.nodeCount();
    const std::uint32_t evenShare =
            evenSlotShare(state.m_slots, nodes, m_peers.ownRank(state.m_upstream));
    // The headroom that peers keep for themselves isn't idle; nodes that counted it as free would
    // borrow each other's headroom.
    const auto peers =
            static_cast<std::uint32_t>(upstream.m_peers * (1.0 + 2.0 * m_settings.m_headroom));
    return std::max(evenShare, state.m_slots - std::min(state.m_slots, peers));
}

bool AdmissionUpstreams::isUsable(const Upstream &upstream, TimePoint now) const
{
    return !upstream.m_state.m_isLeaving && m_outlier.canUse(upstream.m_state.m_upstream, now);
}

bool AdmissionUpstreams::isFree(const Upstream &upstream, TimePoint now) const
{
    return isUsable(upstream, now) && hasSlot(upstream, now);
}

bool AdmissionUpstreams::hasSlot(const Upstream &upstream, TimePoint now) const
{
    if (upstream.m_state.m_dataCentre == m_location.m_dataCentre)
        return hasLocalSlot(upstream, now);
    return hasRemoteSlot(upstream, now);
}

bool AdmissionUpstreams::hasLocalSlot(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    const bool isFresh = reportAge(state, now) <= m_settings.m_peerMaxAge;
    const std::uint32_t maxQueued = std::max(state.m_slots / maxQueuedDivisor, 1U);
    if (isFresh && state.m_queued > maxQueued && upstream.m_own > 0)
        return false;
    SlotView view;
    view.m_slots = state.m_slots;
    view.m_nodes = m_peers.nodeCount();
    view.m_rank = m_peers.ownRank(state.m_upstream);
    view.m_own = upstream.m_own;
    view.m_peers = upstream.m_peers;
    view.m_ownMinimum = upstream.m_history.minimumSince(now - m_settings.m_slots.m_window);
    return canDispatch(view);
}

bool AdmissionUpstreams::hasRemoteSlot(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    if (reportAge(state, now) > m_settings.m_reportMaxAge)
        return false;
    if (upstream.m_own >= remoteAllowance(state))
        return false;
    const auto nodes = m_peers.nodeCount();
    const std::uint32_t unreported = nodes * (upstream.m_recent.countAfter(state.m_reportedAt) + 1);
    return state.m_running + state.m_queued + unreported <= state.m_slots;
}

std::uint32_t AdmissionUpstreams::remoteAllowance(const UpstreamReport &state) const
{
    const auto nodes = m_peers.nodeCount();
    const auto share = static_cast<std::uint32_t>(m_settings.m_slots.m_spillShare * state.m_slots);
    return std::max(share / nodes, 1U);
}

Candidate AdmissionUpstreams::candidate(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    Candidate result;
    result.m_upstream = state.m_upstream;
    result.m_dataCentre = state.m_dataCentre;
    result.m_region = state.m_region;
    result.m_slots = state.m_slots;
    result.m_ownInFlight = upstream.m_own;
    result.m_peersInFlight = state.m_dataCentre == m_location.m_dataCentre ? upstream.m_peers : 0;
    result.m_reportedRunning = state.m_running;
    result.m_reportedQueued = state.m_queued;
    result.m_reportAge = reportAge(state, now);
    result.m_ownSinceReport = upstream.m_recent.countAfter(state.m_reportedAt);
    result.m_pricePerHour = state.m_pricePerHour;
    result.m_isReclaimable = state.m_isReclaimable;
    result.m_reclaimRisk = state.m_reclaimRisk;
    result.m_isLeaving = state.m_isLeaving;
    result.m_firstToken = upstream.m_measures.firstToken(now);
    result.m_betweenTokens = upstream.m_measures.betweenTokens();
    result.m_recentFailures = upstream.m_measures.failures(now);
    return result;
}

std::vector<Candidate> AdmissionUpstreams::candidates(TimePoint now) const
{
    std::vector<Candidate> result;
    for (const auto &[id, upstream] : m_upstreams)
        result.push_back(candidate(upstream, now));
    return result;
}

std::optional<Candidate> AdmissionUpstreams::freeCandidate(const UpstreamId &id,
                                                           TimePoint now) const
{
    const Upstream &upstream = m_upstreams.at(id);
    return isFree(upstream, now) ? std::optional(candidate(upstream, now)) : std::nullopt;
}

std::vector<Candidate> AdmissionUpstreams::freeCandidates(bool mayLeaveRegion, TimePoint now) const
{
    const auto isInRegion = [this](const Upstream &upstream) {
        return upstream.m_state.m_region == m_location.m_region;
    };
    const bool hasUsableInRegion =
            std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &entry) {
                return isInRegion(entry.second) && isUsable(entry.second, now);
            });
    std::vector<Candidate> result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!isInRegion(upstream) && hasUsableInRegion && !mayLeaveRegion)
            continue;
        if (isFree(upstream, now))
            result.push_back(candidate(upstream, now));
    }
    return result;
}

} // namespace gypsumdale
