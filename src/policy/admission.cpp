#include <gypsumdale/policy/admission.hpp>

#include <xxhash.h>

#include <algorithm> // any_of, clamp, find, find_if, max, min, sort, unique
#include <cmath> // exp2
#include <utility> // move

namespace gypsumdale {

namespace {

constexpr double gain = 0.2;
/// An upstream that was slow would never be tried again if that were not forgotten.
constexpr double firstTokenHalfLifeSeconds = 2.0;
constexpr double failureHalfLifeSeconds = 10.0;
/// How much later than told clients may come back, so that they don't all come at once.
constexpr double retryJitter = 0.25;
/// An engine that queues more than this part of its slots is busy with others' work.
constexpr std::uint32_t queuedPart = 4;
constexpr Duration noUpstreamRetryAfter = std::chrono::seconds(1);
constexpr Duration drainingRetryAfter = std::chrono::milliseconds(200);

double smoothed(double known, double measured)
{
    return known == 0.0 ? measured : known + gain * (measured - known);
}

Duration reportAge(const UpstreamReport &state, TimePoint now)
{
    return state.m_reportedAt == TimePoint::min() ? Duration::max() : now - state.m_reportedAt;
}

} // namespace

AdmissionController::AdmissionController(const Builder &builder)
    : m_node(builder.m_node)
    , m_dataCentre(builder.m_dataCentre)
    , m_region(builder.m_region)
    , m_settings(builder.m_settings)
    , m_routing(builder.m_routing)
    , m_random(builder.m_seed)
    , m_queue(builder.m_settings.m_queue)
    , m_outlier(builder.m_settings.m_outlier)
    , m_nodes{builder.m_node}
{}

void AdmissionController::setMembers(const std::vector<MemberShare> &members)
{
    m_members.clear();
    for (const MemberShare &share : members) {
        m_members[share.m_member] = share;
        m_queue.setWeight(share.m_member, share.m_weight);
    }
}

void AdmissionController::setNodes(std::vector<NodeId> nodes)
{
    nodes.push_back(m_node);
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    m_nodes = std::move(nodes);
    const auto own = std::find(m_nodes.begin(), m_nodes.end(), m_node);
    m_ownIndex = static_cast<std::size_t>(own - m_nodes.begin());
    recountAll();
}

void AdmissionController::updateUpstream(const UpstreamReport &state, TimePoint)
{
    const auto [found, isNew] = m_upstreams.try_emplace(state.m_upstream);
    Upstream &upstream = found->second;
    if (!isNew && state.m_incarnation < upstream.m_state.m_incarnation)
        return;
    const bool isRestarted = !isNew && state.m_incarnation > upstream.m_state.m_incarnation;
    if (isRestarted) {
        m_outlier.forget(state.m_upstream);
        forgetUpstream(m_routing, state.m_upstream);
        upstream.m_firstTokenSeconds = 0.0;
        upstream.m_betweenTokensSeconds = 0.0;
        upstream.m_failures = 0.0;
    }
    const bool wasLeaving = !isNew && !isRestarted && upstream.m_state.m_isLeaving;
    upstream.m_state = state;
    upstream.m_state.m_isLeaving = state.m_isLeaving || wasLeaving;
    upstream.m_isRemoved = false;
    recountPeers(upstream);
    m_outlier.setFleetSize(m_upstreams.size());
}

void AdmissionController::removeUpstream(const UpstreamId &upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    m_outlier.forget(upstream);
    forgetUpstream(m_routing, upstream);
    found->second.m_state.m_isLeaving = true;
    found->second.m_isRemoved = true;
    if (found->second.m_own == 0)
        m_upstreams.erase(found);
    m_outlier.setFleetSize(m_upstreams.size());
}

void AdmissionController::mergePeer(const NodeId &peer, std::uint64_t incarnation,
                                    const NodeLoad &load, TimePoint now)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    Peer &known = found->second;
    if (!isNew && incarnation < known.m_incarnation)
        return;
    m_queue.mergePeer(peer, incarnation, load.m_tokens);
    const auto node = std::find(m_nodes.begin(), m_nodes.end(), peer);
    const bool isCounted = node != m_nodes.end();
    const auto index = static_cast<std::size_t>(node - m_nodes.begin());
    const bool wasStale = known.m_isStale;
    std::map<UpstreamId, std::uint32_t> touched = known.m_inFlight;
    touched.insert(load.m_inFlight.begin(), load.m_inFlight.end());
    // Only what changed is counted anew: a full count for each heartbeat costs nodes times
    // upstreams.
    if (isCounted && !wasStale)
        addCharges(index, touched, -1);
    known = Peer{incarnation, load.m_inFlight, now, false};
    if (isCounted && !wasStale)
        addCharges(index, touched, 1);
    if (isCounted && wasStale)
        recountAll();
}

void AdmissionController::addCharges(std::size_t node,
                                     const std::map<UpstreamId, std::uint32_t> &touched, int sign)
{
    for (const auto &[id, count] : touched) {
        const auto found = m_upstreams.find(id);
        if (found == m_upstreams.end())
            continue;
        const std::uint32_t charge = chargeOf(node, found->second);
        std::uint32_t &peers = found->second.m_peers;
        peers = sign > 0 ? peers + charge : peers - std::min(peers, charge);
    }
}

void AdmissionController::recountAll()
{
    for (auto &[id, upstream] : m_upstreams)
        recountPeers(upstream);
}

void AdmissionController::noteCacheEvent(const CacheEvent &event, TimePoint now)
{
    gypsumdale::noteCacheEvent(m_routing, event, now);
}

AdmissionCommands AdmissionController::submit(WaitingRequest request, TimePoint now)
{
    AdmissionCommands commands;
    if (m_running.contains(request.m_id))
        return commands;
    if (const auto refused = refuseAtOnce(request)) {
        commands.emplace_back(*refused);
        return commands;
    }
    if (m_queue.waiting() >= m_settings.m_maxWaiting && !makeRoom(request.m_member, commands)) {
        commands.emplace_back(fullRefusal(request, ErrorId::QueueFull, now));
        return commands;
    }
    if (m_queue.waiting(request.m_member) >= m_settings.m_maxWaitingPerMember) {
        commands.emplace_back(fullRefusal(request, ErrorId::MemberOverLimit, now));
        return commands;
    }
    m_queue.enqueue(std::move(request), now);
    AdmissionCommands more = poll(now);
    commands.insert(commands.end(), more.begin(), more.end());
    return commands;
}

std::optional<Refuse> AdmissionController::refuseAtOnce(const WaitingRequest &request)
{
    if (m_isDraining)
        return Refuse{request.m_id, ErrorId::Draining, retryAfter(drainingRetryAfter)};
    if (!hasUsableUpstream())
        return Refuse{request.m_id, ErrorId::NoUpstream, retryAfter(noUpstreamRetryAfter)};
    return std::nullopt;
}

Refuse AdmissionController::fullRefusal(const WaitingRequest &request, ErrorId error, TimePoint now)
{
    const Duration wait = waitEstimate(request.m_member, request.m_priority, now);
    return Refuse{request.m_id, error, retryAfter(wait)};
}

bool AdmissionController::makeRoom(const MemberId &member, AdmissionCommands &commands)
{
    const std::optional<WaitingRequest> dropped = m_queue.makeRoomFor(member);
    if (!dropped)
        return false;
    const double rate = m_rate.tokensPerSecond();
    const double seconds = rate > 0.0 ? static_cast<double>(m_queue.waitingTokens()) / rate : 0.0;
    commands.emplace_back(
            Refuse{dropped->m_id, ErrorId::QueueFull, retryAfter(fromSeconds(seconds))});
    return true;
}

AdmissionCommands AdmissionController::poll(TimePoint now)
{
    AdmissionCommands commands;
    m_outlier.checkSilence(now);
    refreshStalePeers(now);
    if (!hasUsableUpstream())
        refuseWaiting(ErrorId::NoUpstream, noUpstreamRetryAfter, commands);
    // First what is too late even if dispatched now, so that no slot is spent on it; after the
    // dispatches what would have to wait too long.
    expire(now, 0.0, commands);
    dispatchWaiting(now, commands);
    m_rate.served(0, now, m_queue.waiting() > 0);
    expire(now, m_rate.tokensPerSecond(), commands);
    return commands;
}

void AdmissionController::expire(TimePoint now, double tokensPerSecond, AdmissionCommands &commands)
{
    const auto firstToken = [this, now](const WaitingRequest &request) {
        return m_firstTokens.estimate(request.m_profile, now);
    };
    for (const GivenUp &one : m_queue.expire(now, tokensPerSecond, firstToken))
        commands.emplace_back(
                Refuse{one.m_request, ErrorId::DeadlineUnreachable, retryAfter(one.m_retryAfter)});
}

void AdmissionController::dispatchWaiting(TimePoint now, AdmissionCommands &commands)
{
    if (m_queue.waiting() == 0)
        return;
    std::vector<Candidate> free = freeCandidates(now);
    countSlots(now);
    const auto filter = [this](const MemberId &member) {
        return mayRun(member);
    };
    while (!free.empty()) {
        std::optional<WaitingRequest> request = m_queue.next(now, filter);
        if (!request)
            return;
        commands.push_back(route(std::move(*request), free, now));
    }
}

AdmissionCommand AdmissionController::route(WaitingRequest request, std::vector<Candidate> &free,
                                            TimePoint now)
{
    const RoutingRequest wanted = routingRequest(request, now);
    const std::optional<UpstreamId> chosen = choose(m_routing, wanted, free, now, m_random);
    if (!chosen)
        return Refuse{request.m_id, ErrorId::NoUpstream, retryAfter(noUpstreamRetryAfter)};
    noteDispatch(m_routing, *chosen, wanted, now);
    Dispatch result = dispatch(std::move(request), *chosen, now);
    const auto at = std::find_if(free.begin(), free.end(), [&chosen](const Candidate &one) {
        return one.m_upstream == *chosen;
    });
    const Upstream &upstream = m_upstreams.at(*chosen);
    if (isUsable(upstream, now) && hasSlot(upstream, now))
        *at = candidate(upstream, now);
    else
        free.erase(at);
    return result;
}

RoutingRequest AdmissionController::routingRequest(const WaitingRequest &request,
                                                   TimePoint now) const
{
    const bool hasTarget = request.m_firstTokenBy != TimePoint::max();
    return RoutingRequest{m_dataCentre,
                          m_region,
                          request.m_promptTokens,
                          request.m_expectedTokens,
                          hasTarget ? request.m_firstTokenBy - now : Duration::max(),
                          request.m_prefixBlocks,
                          request.m_tried};
}

Dispatch AdmissionController::dispatch(WaitingRequest request, const UpstreamId &id, TimePoint now)
{
    Upstream &upstream = m_upstreams.at(id);
    ++upstream.m_own;
    upstream.m_history.note(now, upstream.m_own, m_settings.m_slots.m_window);
    upstream.m_recent.add(now, std::max(m_settings.m_slots.m_window, m_settings.m_reportMaxAge));
    ++m_memberInFlight[request.m_member];
    ++m_usedSlots;
    m_outlier.dispatched(id, now);
    m_rate.served(expectedCost(request), now, m_queue.waiting() > 0);
    Running &running = m_running[request.m_id];
    running.m_member = request.m_member;
    running.m_profile = request.m_profile;
    running.m_upstream = id;
    running.m_incarnation = upstream.m_state.m_incarnation;
    running.m_dispatchedAt = now;
    running.m_charged = request.m_promptTokens;
    return Dispatch{std::move(request), id};
}

bool AdmissionController::cancel(const RequestId &request)
{
    return m_queue.cancel(request);
}

void AdmissionController::firstToken(const RequestId &request, TimePoint now)
{
    const auto found = m_running.find(request);
    if (found == m_running.end() || found->second.m_lastTokenAt)
        return;
    Running &running = found->second;
    const Duration taken = now - running.m_dispatchedAt;
    running.m_lastTokenAt = now;
    m_firstTokens.note(running.m_profile, taken, now);
    m_outlier.heard(running.m_upstream, now);
    const auto upstream = m_upstreams.find(running.m_upstream);
    if (upstream == m_upstreams.end())
        return;
    double &known = upstream->second.m_firstTokenSeconds;
    known = smoothed(known, toSeconds(taken));
    upstream->second.m_firstTokenAt = now;
}

void AdmissionController::tokens(const RequestId &request, std::uint32_t count, TimePoint now)
{
    const auto found = m_running.find(request);
    if (found == m_running.end() || count == 0)
        return;
    firstToken(request, now);
    Running &running = found->second;
    running.m_charged += count;
    m_queue.charge(running.m_member, count);
    m_outlier.heard(running.m_upstream, now);
    const Duration passed = now - *running.m_lastTokenAt;
    running.m_lastTokenAt = now;
    const auto upstream = m_upstreams.find(running.m_upstream);
    if (upstream == m_upstreams.end() || passed <= Duration{})
        return;
    double &known = upstream->second.m_betweenTokensSeconds;
    known = smoothed(known, toSeconds(passed) / count);
}

void AdmissionController::usage(const RequestId &request, std::uint32_t promptTokens,
                                std::uint32_t generated)
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return;
    const std::uint64_t actual = std::uint64_t{promptTokens} + generated;
    m_queue.correct(found->second.m_member, found->second.m_charged, actual);
    found->second.m_charged = actual;
}

AdmissionCommands AdmissionController::attemptEnded(const RequestId &request, AttemptEnd end,
                                                    TimePoint now)
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return {};
    const Running running = std::move(found->second);
    m_running.erase(found);
    --m_memberInFlight[running.m_member];
    const auto upstream = m_upstreams.find(running.m_upstream);
    if (upstream != m_upstreams.end()) {
        --upstream->second.m_own;
        upstream->second.m_history.note(now, upstream->second.m_own, m_settings.m_slots.m_window);
        if (running.m_incarnation == upstream->second.m_state.m_incarnation)
            noteEnd(upstream->second, end, now);
        if (upstream->second.m_isRemoved && upstream->second.m_own == 0)
            m_upstreams.erase(upstream);
    }
    return poll(now);
}

void AdmissionController::noteEnd(Upstream &upstream, AttemptEnd end, TimePoint now)
{
    const UpstreamId &id = upstream.m_state.m_upstream;
    switch (end) {
    case AttemptEnd::Completed:
        m_outlier.succeeded(id, now);
        return;
    case AttemptEnd::Abandoned:
        m_outlier.abandoned(id);
        return;
    case AttemptEnd::Failed:
    case AttemptEnd::Refused:
        break;
    }
    m_outlier.failed(id, now);
    upstream.m_failures = fadedFailures(upstream, now) + 1.0;
    upstream.m_failuresAt = now;
}

double AdmissionController::fadedFailures(const Upstream &upstream, TimePoint now)
{
    const double age = toSeconds(now - upstream.m_failuresAt);
    return upstream.m_failures * std::exp2(-age / failureHalfLifeSeconds);
}

AdmissionCommands AdmissionController::drain(TimePoint)
{
    m_isDraining = true;
    AdmissionCommands commands;
    refuseWaiting(ErrorId::Draining, drainingRetryAfter, commands);
    return commands;
}

void AdmissionController::refuseWaiting(ErrorId error, Duration wait, AdmissionCommands &commands)
{
    for (const WaitingRequest &request : m_queue.takeAll())
        commands.emplace_back(Refuse{request.m_id, error, retryAfter(wait)});
}

NodeLoad AdmissionController::ownLoad() const
{
    NodeLoad load;
    load.m_tokens = m_queue.ownCounts();
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.m_own > 0)
            load.m_inFlight[id] = upstream.m_own;
    }
    return load;
}

Duration AdmissionController::waitEstimate(const MemberId &member, int priority, TimePoint) const
{
    const double rate = m_rate.tokensPerSecond();
    if (rate <= 0.0)
        return Duration{};
    return fromSeconds(m_queue.tokensAhead(member, priority) / rate);
}

std::size_t AdmissionController::inFlight(const MemberId &member) const
{
    const auto found = m_memberInFlight.find(member);
    return found == m_memberInFlight.end() ? 0 : found->second;
}

std::uint32_t AdmissionController::inFlightAt(const UpstreamId &upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.m_own;
}

bool AdmissionController::isEjected(const UpstreamId &upstream) const
{
    return m_outlier.isEjected(upstream);
}

std::vector<Candidate> AdmissionController::candidates(TimePoint now) const
{
    std::vector<Candidate> result;
    for (const auto &[id, upstream] : m_upstreams)
        result.push_back(candidate(upstream, now));
    return result;
}

bool AdmissionController::mayRun(const MemberId &member) const
{
    const auto found = m_members.find(member);
    const bool isLimited = found != m_members.end() && found->second.m_maxInFlight > 0;
    if (isLimited && inFlight(member) >= found->second.m_maxInFlight)
        return false;
    const double kept = m_settings.m_headroom * m_availableSlots;
    return m_usedSlots + kept < m_availableSlots || kept == 0.0 || mayUseHeadroom(member);
}

bool AdmissionController::mayUseHeadroom(const MemberId &member) const
{
    double all = 0.0;
    double own = 1.0;
    for (const auto &[id, share] : m_members) {
        all += share.m_weight;
        if (id == member)
            own = share.m_weight;
    }
    const double share = all > 0.0 ? std::min(own / all, 1.0) : 1.0;
    if (static_cast<double>(inFlight(member)) < share * m_availableSlots)
        return true;
    // One that is behind in tokens, because its requests reach few entry VMs, has to catch up here.
    const double behind = m_queue.highestService() - m_queue.service(member);
    return behind > m_settings.m_queue.m_priorityLead;
}

void AdmissionController::countSlots(TimePoint now)
{
    m_availableSlots = 0;
    m_usedSlots = 0;
    if (m_settings.m_headroom <= 0.0)
        return;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!isUsable(upstream, now))
            continue;
        m_usedSlots += upstream.m_own;
        m_availableSlots += availableSlots(upstream, now);
    }
}

std::uint32_t AdmissionController::availableSlots(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    if (state.m_dataCentre != m_dataCentre)
        return hasForeignSlot(upstream, now) ? foreignAllowance(state) : upstream.m_own;
    const auto nodes = static_cast<std::uint32_t>(m_nodes.size());
    const std::uint32_t lent =
            lentSlots(state.m_slots, nodes, rankOf(m_ownIndex, state.m_upstream));
    // What peers keep as their own headroom isn't idle: nodes that took it for free would borrow
    // each other's headroom away.
    const auto peers =
            static_cast<std::uint32_t>(upstream.m_peers * (1.0 + 2.0 * m_settings.m_headroom));
    return std::max(lent, state.m_slots - std::min(state.m_slots, peers));
}

bool AdmissionController::isUsable(const Upstream &upstream, TimePoint now) const
{
    return !upstream.m_state.m_isLeaving && m_outlier.mayUse(upstream.m_state.m_upstream, now);
}

bool AdmissionController::hasUsableUpstream() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto &entry) { return !entry.second.m_state.m_isLeaving; });
}

bool AdmissionController::hasSlot(const Upstream &upstream, TimePoint now) const
{
    if (upstream.m_state.m_dataCentre == m_dataCentre)
        return hasLocalSlot(upstream, now);
    return hasForeignSlot(upstream, now);
}

bool AdmissionController::hasLocalSlot(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    const bool isFresh = reportAge(state, now) <= m_settings.m_peerMaxAge;
    const std::uint32_t mostQueued = std::max(state.m_slots / queuedPart, 1U);
    if (isFresh && state.m_queued > mostQueued && upstream.m_own > 0)
        return false;
    SlotView view;
    view.m_slots = state.m_slots;
    view.m_nodes = static_cast<std::uint32_t>(m_nodes.size());
    view.m_rank = rankOf(m_ownIndex, state.m_upstream);
    view.m_own = upstream.m_own;
    view.m_peers = upstream.m_peers;
    view.m_ownHeard = upstream.m_history.leastSince(now - m_settings.m_slots.m_window);
    return mayDispatch(view);
}

bool AdmissionController::hasForeignSlot(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    if (reportAge(state, now) > m_settings.m_reportMaxAge)
        return false;
    if (upstream.m_own >= foreignAllowance(state))
        return false;
    const auto nodes = static_cast<std::uint32_t>(m_nodes.size());
    const std::uint32_t unseen = nodes * (upstream.m_recent.countAfter(state.m_reportedAt) + 1);
    return state.m_running + state.m_queued + unseen <= state.m_slots;
}

std::uint32_t AdmissionController::foreignAllowance(const UpstreamReport &state) const
{
    const auto nodes = static_cast<std::uint32_t>(m_nodes.size());
    const auto share = static_cast<std::uint32_t>(m_settings.m_slots.m_spillShare * state.m_slots);
    return std::max(share / nodes, 1U);
}

std::uint32_t AdmissionController::rankOf(std::size_t node, const UpstreamId &upstream) const
{
    const std::string &name = upstream.text();
    const std::size_t turn = XXH3_64bits(name.data(), name.size()) % m_nodes.size();
    return static_cast<std::uint32_t>((node + turn) % m_nodes.size());
}

std::uint32_t AdmissionController::chargeOf(std::size_t node, const Upstream &upstream) const
{
    const UpstreamReport &state = upstream.m_state;
    const auto nodes = static_cast<std::uint32_t>(m_nodes.size());
    const std::uint32_t lent = lentSlots(state.m_slots, nodes, rankOf(node, state.m_upstream));
    const auto peer = m_peers.find(m_nodes[node]);
    if (peer == m_peers.end() || peer->second.m_isStale)
        return lent;
    const auto reported = peer->second.m_inFlight.find(state.m_upstream);
    const std::uint32_t inFlight = reported == peer->second.m_inFlight.end() ? 0 : reported->second;
    return peerCharge(m_settings.m_slots, inFlight, lent);
}

void AdmissionController::recountPeers(Upstream &upstream) const
{
    upstream.m_peers = 0;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (node != m_ownIndex)
            upstream.m_peers += chargeOf(node, upstream);
    }
}

void AdmissionController::refreshStalePeers(TimePoint now)
{
    bool hasChanged = false;
    for (auto &[id, peer] : m_peers) {
        if (peer.m_isStale || now - peer.m_heardAt <= m_settings.m_peerMaxAge)
            continue;
        peer.m_isStale = true;
        hasChanged = true;
    }
    if (hasChanged)
        recountAll();
}

Candidate AdmissionController::candidate(const Upstream &upstream, TimePoint now) const
{
    const UpstreamReport &state = upstream.m_state;
    Candidate result;
    result.m_upstream = state.m_upstream;
    result.m_dataCentre = state.m_dataCentre;
    result.m_region = state.m_region;
    result.m_slots = state.m_slots;
    result.m_ownInFlight = upstream.m_own;
    result.m_peersInFlight = state.m_dataCentre == m_dataCentre ? upstream.m_peers : 0;
    result.m_reportedRunning = state.m_running;
    result.m_reportedQueued = state.m_queued;
    result.m_reportAge = reportAge(state, now);
    result.m_ownSinceReport = upstream.m_recent.countAfter(state.m_reportedAt);
    result.m_pricePerHour = state.m_pricePerHour;
    result.m_isReclaimable = state.m_isReclaimable;
    result.m_reclaimRisk = state.m_reclaimRisk;
    result.m_isLeaving = state.m_isLeaving;
    const double age = toSeconds(now - upstream.m_firstTokenAt);
    const double faded = std::exp2(-age / firstTokenHalfLifeSeconds);
    result.m_firstToken = fromSeconds(upstream.m_firstTokenSeconds * faded);
    result.m_betweenTokens = fromSeconds(upstream.m_betweenTokensSeconds);
    result.m_recentFailures = fadedFailures(upstream, now);
    return result;
}

std::vector<Candidate> AdmissionController::freeCandidates(TimePoint now) const
{
    const double rate = m_rate.tokensPerSecond();
    const bool isSlow = rate > 0.0
                        && fromSeconds(static_cast<double>(m_queue.waitingTokens()) / rate)
                                   > m_settings.m_spillAfter;
    const bool hasNearOne =
            std::any_of(m_upstreams.begin(), m_upstreams.end(), [this, now](const auto &entry) {
                return entry.second.m_state.m_region == m_region && isUsable(entry.second, now);
            });
    std::vector<Candidate> result;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool isNear = upstream.m_state.m_region == m_region;
        if (!isNear && hasNearOne && !isSlow)
            continue;
        if (isUsable(upstream, now) && hasSlot(upstream, now))
            result.push_back(candidate(upstream, now));
    }
    return result;
}

Duration AdmissionController::retryAfter(Duration wait)
{
    const Duration clamped =
            std::clamp(wait, m_settings.m_minRetryAfter, m_settings.m_maxRetryAfter);
    const double fraction = m_random() / static_cast<double>(pcg32::max());
    return clamped + fromSeconds(toSeconds(clamped) * retryJitter * fraction);
}

AdmissionController::Builder &AdmissionController::Builder::node(NodeId node)
{
    m_node = std::move(node);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::dataCentre(DataCentreId dataCentre)
{
    m_dataCentre = std::move(dataCentre);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::region(RegionId region)
{
    m_region = std::move(region);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::settings(AdmissionSettings settings)
{
    m_settings = settings;
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::routing(RoutingPolicy routing)
{
    m_routing = std::move(routing);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

AdmissionController AdmissionController::Builder::build() const
{
    return AdmissionController(*this);
}

} // namespace gypsumdale
