#include <gypsumdale/policy/admission.hpp>

#include <algorithm> // clamp, find_if
#include <utility> // move

namespace gypsumdale {

namespace {

/// Random addition to a retry-after, as a share of it, so that clients don't all return at the same
/// time.
constexpr double retryJitter = 0.25;
constexpr Duration noUpstreamRetryAfter = std::chrono::seconds(1);
constexpr Duration drainingRetryAfter = std::chrono::milliseconds(200);

} // namespace

AdmissionController::AdmissionController(const Builder &builder)
    : m_location(builder.m_location)
    , m_settings(builder.m_settings)
    , m_upstreams(builder.m_location, builder.m_settings)
    , m_routing(builder.m_routing)
    , m_random(builder.m_seed)
    , m_queue(builder.m_settings.m_queue)
{}

void AdmissionController::setMembers(const std::vector<MemberShare> &members)
{
    m_members.setMembers(members);
    for (const MemberShare &share : members)
        m_queue.setWeight(share.m_member, share.m_weight);
}

void AdmissionController::setNodes(std::vector<NodeId> nodes)
{
    m_upstreams.setNodes(std::move(nodes));
}

void AdmissionController::updateUpstream(const UpstreamReport &state, TimePoint)
{
    if (m_upstreams.update(state))
        dropUpstreamState(m_routing, state.m_upstream);
}

void AdmissionController::removeUpstream(const UpstreamId &upstream)
{
    if (m_upstreams.remove(upstream))
        dropUpstreamState(m_routing, upstream);
}

void AdmissionController::mergePeer(const NodeId &peer, std::uint64_t incarnation,
                                    const NodeLoad &load, TimePoint now)
{
    if (m_upstreams.mergePeer(peer, incarnation, load.m_inFlight, now))
        m_queue.mergePeer(peer, incarnation, load.m_tokens);
}

void AdmissionController::applyCacheEvent(const CacheEvent &event, TimePoint now)
{
    gypsumdale::applyCacheEvent(m_routing, event, now);
}

AdmissionCommands AdmissionController::submit(WaitingRequest request, TimePoint now)
{
    AdmissionCommands commands;
    if (m_running.contains(request.m_id))
        return commands;
    if (const auto refused = refuseImmediately(request)) {
        commands.emplace_back(*refused);
        return commands;
    }
    if (m_queue.waiting() >= m_settings.m_maxWaiting && !evictQueued(request.m_member, commands)) {
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

std::optional<Refuse> AdmissionController::refuseImmediately(const WaitingRequest &request)
{
    if (m_isDraining)
        return Refuse{request.m_id, ErrorId::Draining, retryAfter(drainingRetryAfter)};
    if (!m_upstreams.hasNonLeavingUpstream())
        return Refuse{request.m_id, ErrorId::NoUpstream, retryAfter(noUpstreamRetryAfter)};
    return std::nullopt;
}

Refuse AdmissionController::fullRefusal(const WaitingRequest &request, ErrorId error, TimePoint now)
{
    const Duration wait = estimateWait(request.m_member, request.m_priority, now);
    return Refuse{request.m_id, error, retryAfter(wait)};
}

bool AdmissionController::evictQueued(const MemberId &member, AdmissionCommands &commands)
{
    const std::optional<WaitingRequest> dropped = m_queue.evictFor(member);
    if (!dropped)
        return false;
    commands.emplace_back(Refuse{dropped->m_id, ErrorId::QueueFull, retryAfter(backlog())});
    return true;
}

AdmissionCommands AdmissionController::poll(TimePoint now)
{
    AdmissionCommands commands;
    m_upstreams.refresh(now);
    if (!m_upstreams.hasNonLeavingUpstream())
        refuseWaiting(ErrorId::NoUpstream, noUpstreamRetryAfter, commands);
    // Expires requests that are late even if dispatched now, so that no slot is spent on them;
    // after the dispatches, those whose queueing time would be too long.
    expire(now, 0.0, commands);
    dispatchWaiting(now, commands);
    m_rate.recordServed(0, now, m_queue.waiting() > 0);
    expire(now, m_rate.tokensPerSecond(), commands);
    return commands;
}

void AdmissionController::expire(TimePoint now, double tokensPerSecond, AdmissionCommands &commands)
{
    const auto firstToken = [this, now](const WaitingRequest &request) {
        return m_firstTokens.estimate(request.m_profile, now);
    };
    for (const ExpiredRequest &one : m_queue.expire(now, tokensPerSecond, firstToken))
        commands.emplace_back(
                Refuse{one.m_request, ErrorId::DeadlineUnreachable, retryAfter(one.m_retryAfter)});
}

void AdmissionController::dispatchWaiting(TimePoint now, AdmissionCommands &commands)
{
    if (m_queue.waiting() == 0)
        return;
    const bool mayLeaveRegion = backlog() > m_settings.m_spillWait;
    std::vector<Candidate> free = m_upstreams.freeCandidates(mayLeaveRegion, now);
    m_slots = m_settings.m_headroom > 0.0 ? m_upstreams.countSlots(now) : SlotCount{};
    const auto filter = [this](const MemberId &member) {
        return canRun(member);
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
    recordDispatch(m_routing, *chosen, wanted, now);
    Dispatch result = dispatch(std::move(request), *chosen, now);
    const auto at = std::find_if(free.begin(), free.end(), [&chosen](const Candidate &one) {
        return one.m_upstream == *chosen;
    });
    if (std::optional<Candidate> again = m_upstreams.freeCandidate(*chosen, now))
        *at = std::move(*again);
    else
        free.erase(at);
    return result;
}

RoutingRequest AdmissionController::routingRequest(const WaitingRequest &request,
                                                   TimePoint now) const
{
    const bool hasTarget = request.m_firstTokenDeadline != TimePoint::max();
    return RoutingRequest{m_location.m_dataCentre,
                          m_location.m_region,
                          request.m_promptTokens,
                          request.m_expectedTokens,
                          hasTarget ? request.m_firstTokenDeadline - now : Duration::max(),
                          request.m_prefixBlocks,
                          request.m_triedUpstreams};
}

Dispatch AdmissionController::dispatch(WaitingRequest request, const UpstreamId &id, TimePoint now)
{
    const std::uint64_t incarnation = m_upstreams.dispatched(id, now);
    m_members.started(request.m_member);
    ++m_slots.m_used;
    m_rate.recordServed(expectedCost(request), now, m_queue.waiting() > 0);
    Running &running = m_running[request.m_id];
    running.m_member = request.m_member;
    running.m_profile = request.m_profile;
    running.m_upstream = id;
    running.m_incarnation = incarnation;
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
    m_upstreams.firstToken(running.m_upstream, taken, now);
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
    const Duration passed = now - *running.m_lastTokenAt;
    running.m_lastTokenAt = now;
    m_upstreams.tokens(running.m_upstream, count, passed, now);
}

void AdmissionController::usage(const RequestId &request, std::uint32_t promptTokens,
                                std::uint32_t generated)
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return;
    const std::uint64_t actual = std::uint64_t{promptTokens} + generated;
    m_queue.correctCharge(found->second.m_member, found->second.m_charged, actual);
    found->second.m_charged = actual;
}

AdmissionCommands AdmissionController::finishAttempt(const RequestId &request, AttemptEnd end,
                                                     TimePoint now)
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return {};
    const Running running = std::move(found->second);
    m_running.erase(found);
    m_members.ended(running.m_member);
    m_upstreams.ended(running.m_upstream, running.m_incarnation, end, now);
    return poll(now);
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
    for (const WaitingRequest &request : m_queue.removeAllWaiting())
        commands.emplace_back(Refuse{request.m_id, error, retryAfter(wait)});
}

NodeLoad AdmissionController::ownLoad() const
{
    return NodeLoad{m_queue.ownCounts(), m_upstreams.inFlight()};
}

Duration AdmissionController::estimateWait(const MemberId &member, int priority, TimePoint) const
{
    const double rate = m_rate.tokensPerSecond();
    if (rate <= 0.0)
        return Duration{};
    return fromSeconds(m_queue.tokensAhead(member, priority) / rate);
}

bool AdmissionController::canRun(const MemberId &member) const
{
    if (m_members.isAtLimit(member))
        return false;
    const double reserved = m_settings.m_headroom * m_slots.m_available;
    const bool leavesHeadroom = m_slots.m_used + reserved < m_slots.m_available || reserved == 0.0;
    return leavesHeadroom || m_members.isBelowShare(member, m_slots.m_available)
           || isBehind(member);
}

bool AdmissionController::isBehind(const MemberId &member) const
{
    // A member whose requests reach few entry VMs gets fewer tokens overall, and catches up here.
    const double behind = m_queue.highestService() - m_queue.service(member);
    return behind > m_settings.m_queue.m_priorityLead;
}

Duration AdmissionController::backlog() const
{
    const double rate = m_rate.tokensPerSecond();
    if (rate <= 0.0)
        return Duration{};
    return fromSeconds(static_cast<double>(m_queue.waitingTokens()) / rate);
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
    m_location.m_node = std::move(node);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::dataCentre(DataCentreId dataCentre)
{
    m_location.m_dataCentre = std::move(dataCentre);
    return *this;
}

AdmissionController::Builder &AdmissionController::Builder::region(RegionId region)
{
    m_location.m_region = std::move(region);
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
