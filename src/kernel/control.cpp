#include <gypsumdale/kernel/config_codec.hpp>
#include <gypsumdale/kernel/control.hpp>

#include <algorithm> // ranges::sort
#include <chrono> // milliseconds

namespace gypsumdale {

namespace {

constexpr Duration drainTick = std::chrono::milliseconds(50);
/// Gauges iterate over all upstreams, so they are updated only once per second.
constexpr int ticksPerGauges = 20;
constexpr int ticksPerLogReport = 100;
/// Well below the 12 s within which a version must be in force everywhere.
constexpr Duration maxPeerSilence = std::chrono::seconds(6);
/// The caller goes to another VM, so it has nothing to wait for here.
constexpr Duration drainingRetryAfter = std::chrono::milliseconds(200);

Endpoint endpointOf(const Address &address)
{
    return {address.m_ip, address.m_port};
}

DrainSettings drainSettingsOf(const FleetSettings &fleet)
{
    DrainSettings settings;
    settings.m_balancerWait = fleet.m_drain.m_readinessLead;
    settings.m_budget = fleet.m_drain.m_node;
    return settings;
}

} // namespace

Control::Control(ControlContext context, AttemptCallbacks runAttempt)
    : m_context(context)
    , m_fleet(m_context)
    , m_config(m_context, [this](const NodeId &node) { return m_fleet.find(node); })
    , m_admission(m_context, m_fleet, m_config.view())
    , m_claims(m_context, m_fleet)
    , m_jobs(m_context, m_fleet, std::move(runAttempt))
    , m_drain(DrainSettings())
{}

Result<Done> Control::start()
{
    auto listening = m_context.m_peers.listen(
            endpointOf(m_context.m_settings.m_peerListen),
            [this](const NodeId &sender, const wire::PeerRequest &request) {
                return answerPeer(sender, request);
            });
    if (!succeeded(listening))
        return listening;
    m_context.m_peers.setIncarnation(m_context.m_incarnation);
    m_config.onChange([this](const ConfigKey &) { onSettingsChanged(); });
    subscribeToFleet();
    m_fleet.start();
    m_config.start();
    m_admission.start();
    m_claims.start();
    m_jobs.start();
    m_startedAt = m_context.now();
    m_context.m_loop.spawn([this] { runDrain(); });
    return Done{};
}

void Control::onSettingsChanged()
{
    const SettingsView &view = m_config.view();
    m_admission.onSettingsChanged();
    m_jobs.setRetention(view.fleet()->m_jobRetention);
    // The ledger has one retention for all keys, so the longest one applies.
    m_claims.setRetention(std::max(view.fleet()->m_keyRetention, view.longestKeyRetention()));
}

void Control::subscribeToFleet()
{
    FleetListeners listeners;
    listeners.m_nodeChanged = [this](const NodeStateChanged &change) {
        onNodeChanged(change);
    };
    listeners.m_upstreamChanged = [this](const UpstreamStateChanged &change) {
        m_admission.onUpstreamChanged(change);
        if (change.m_state == UpstreamState::Leaving || change.m_state == UpstreamState::Gone)
            m_jobs.onUpstreamLeaving(change.m_upstream);
    };
    listeners.m_configSeen = [this](const ConfigDigestReceived &seen) {
        ConfigDigestFrom digest;
        digest.m_node = seen.m_node;
        digest.m_dataCentre = seen.m_dataCentre;
        const auto identity = m_fleet.find(seen.m_node);
        digest.m_incarnation = identity ? identity->m_incarnation : 0;
        digest.m_digest = wire::fromWire(seen.m_digest);
        m_peerVersions[seen.m_node] = digest.m_digest.m_highest;
        m_config.onDigest(digest);
    };
    listeners.m_peerLoad = [this](const NodeId &node, const PeerLoad &load) {
        m_admission.onPeerLoad(node, load);
    };
    listeners.m_ownNotice = [this](const LeavingNotice &notice) {
        onOwnNotice(notice);
    };
    m_fleet.listen(std::move(listeners));
}

std::vector<NodeId> Control::liveLocalNodes() const
{
    std::vector<NodeId> nodes{m_context.m_settings.m_node};
    for (const NodeIdentity &node :
         m_fleet.membership().availableNodes(m_context.m_settings.m_dataCentre))
        nodes.push_back(node.m_node);
    std::ranges::sort(nodes);
    return nodes;
}

void Control::onNodeChanged(const NodeStateChanged &change)
{
    m_config.onLiveNodes(liveLocalNodes());
    m_admission.onNodesChanged();
    m_jobs.onNodesChanged();
    if (change.m_state == NodeState::Dead)
        m_jobs.onNodeDead(change);
}

Result<RequestContext> Control::resolve(const CallerHeaders &claim, RequestId id)
{
    const SettingsView &view = m_config.view();
    const Result<MemberId> memberId = view.accounts().authenticate(claim.m_credential);
    if (!succeeded(memberId))
        return errorOf(memberId);
    RequestContext context;
    context.m_id = std::move(id);
    context.m_member = view.member(valueOf(memberId));
    context.m_profile = view.profile(claim.m_profile);
    context.m_service = claim.m_service;
    context.m_kind = claim.m_kind;
    context.m_arrivedAt = m_context.now();
    // A profile or service that a member may not use gets the same answer as a missing one.
    const bool mayUseProfile = context.m_profile && context.m_member
                               && context.m_member->allowsProfile(claim.m_profile)
                               && context.m_profile->allowsService(claim.m_service);
    if (!mayUseProfile)
        return Error{ErrorId::ProfileUnknown, "no such profile for this service"};
    const ServiceSettings *service = view.fleet()->service(claim.m_service);
    const bool mayUseService = service && service->m_kind == claim.m_kind
                               && context.m_member->allowsService(claim.m_service);
    if (!mayUseService)
        return Error{ErrorId::ServiceUnknown, "no such service"};
    context.m_deadline = context.m_arrivedAt + context.m_profile->m_latency.m_deadline;
    context.m_series = &m_context.m_metrics.series(valueOf(memberId), claim.m_profile);
    context.m_series->add(RequestCounter::Received);
    m_context.m_journal.record(m_context.wallNow(), context.m_id, Decision::Received,
                               DecisionReason::Profile, claim.m_profile.text());
    return context;
}

std::optional<Error> Control::unreadyReason() const
{
    if (!m_drain.isAccepting())
        return Error{ErrorId::Draining, "this process is shutting down"};
    if (!m_config.store().isReady())
        return Error{ErrorId::NotReady, m_config.store().notReadyReason()};
    return std::nullopt;
}

std::optional<NotPlaced> Control::refusalWhileDraining(const RequestContext &context,
                                                       const DrainingRun &run)
{
    const auto stop = m_drain.schedule();
    if (!stop)
        return std::nullopt;
    const TimePoint now = m_context.now();
    const auto recent = m_completions.forecast(lengthsOf(context), now);
    const BeginDecision decision = decideBegin(*stop, expectedEndOf(context, run, recent), now);
    if (decision.m_mayBegin)
        return std::nullopt;
    m_context.m_log.info(
            "not-begun-while-stopping",
            {context.m_id,
             context.m_service,
             context.m_profile->m_id,
             {LogField::State, enumName(beginBasisNames, decision.m_basis)},
             {LogField::ForecastMillis, toMillis(decision.m_needed)},
             {LogField::TermMillis, toMillis(stop->m_cancelAt - now)},
             {LogField::ReadSinceSignalMillis, toMillis(context.m_arrivedAt - stop->m_signalAt)},
             {LogField::HeldMillis, toMillis(now - context.m_arrivedAt)}});
    return NotPlaced{{ErrorId::Draining, "this process is shutting down and would cut the request"},
                     drainingRetryAfter};
}

Placement Control::place(const RequestContext &context, const DrainingRun &run,
                         const WaitingRequest &waiting)
{
    if (auto refusal = refusalWhileDraining(context, run))
        return std::move(*refusal);
    Placement placement = m_admission.place(context.m_service, waiting);
    if (std::holds_alternative<NotPlaced>(placement))
        return placement;
    auto refusal = refusalWhileDraining(context, run);
    if (!refusal)
        return placement;
    m_admission.finishAttempt(context.m_service, context.m_id, AttemptEnd::Abandoned);
    return std::move(*refusal);
}

void Control::recordCompletion(const RequestContext &context)
{
    const TimePoint now = m_context.now();
    m_completions.record(lengthsOf(context).m_name, now - context.m_arrivedAt, now);
}

wire::PeerReplyBody Control::answerPeer(const NodeId &sender, const wire::PeerRequest &request)
{
    const wire::PeerRequestBody &body = request.body;
    wire::PeerReplyBody reply;
    if (body.__isset.heartbeat)
        reply.__set_heartbeat(m_fleet.onHeartbeat(sender, body.heartbeat));
    else if (body.__isset.noticesAsk)
        reply.__set_leavingNotices(m_fleet.notices());
    else if (body.__isset.jobHold)
        reply.__set_jobHoldAnswer(m_jobs.onHold(sender, body.jobHold));
    else if (body.__isset.jobHandOver)
        reply.__set_jobHandOverAnswer(m_jobs.onHandOver(sender, body.jobHandOver));
    else if (body.__isset.jobLocate)
        reply.__set_jobLocated(m_jobs.onLocate(body.jobLocate));
    else if (body.__isset.claimForward)
        reply.__set_claimForwarded(m_claims.onForward(sender, body.claimForward));
    else if (body.__isset.decisionsAsk)
        reply.__set_decisions(ownDecisions(body.decisionsAsk));
    else if (body.__isset.versionAsk)
        reply.__set_versionInForce(ownVersion(body.versionAsk));
    else
        reply.__set_accepted(wire::Accepted());

    if (body.__isset.configAsk)
        m_config.onAsk(wire::fromWire(body.configAsk));
    if (body.__isset.configUpdate)
        m_config.onUpdate(wire::fromWire(body.configUpdate));
    if (body.__isset.configDigest)
        m_config.onDigest(wire::fromWire(body.configDigest));
    if (body.__isset.leavingNotices)
        m_fleet.onNotices(sender, body.leavingNotices);
    if (body.__isset.jobRelease)
        m_jobs.onRelease(sender, body.jobRelease);
    if (body.__isset.jobHoldAnswer)
        m_jobs.onHoldAnswer(sender, body.jobHoldAnswer);
    if (body.__isset.jobHandOverAnswer)
        m_jobs.onHandOverAnswer(sender, body.jobHandOverAnswer);
    if (body.__isset.claimRecord)
        m_claims.onRecord(body.claimRecord);
    return reply;
}

std::size_t Control::requestsInFlight() const
{
    return m_hooks.m_requestsInFlight ? m_hooks.m_requestsInFlight() : 0;
}

ConfigVersion Control::peerVersion(const NodeId &node) const
{
    const auto found = m_peerVersions.find(node);
    return found == m_peerVersions.end() ? 0 : found->second;
}

wire::VersionInForce Control::ownVersion(const wire::VersionAsk &ask) const
{
    wire::VersionInForce result;
    const auto key = configKeyOf(ask.name);
    const auto object = key ? m_config.store().inForce(*key) : std::nullopt;
    result.version = object ? static_cast<std::int64_t>(object->m_version) : 0;
    return result;
}

std::optional<ConfigVersion> Control::queryVersion(const NodeIdentity &peer, const ConfigKey &key,
                                                   Duration timeout)
{
    wire::VersionAsk ask;
    ask.name = platformName(key);
    wire::PeerRequestBody body;
    body.__set_versionAsk(ask);
    const auto reply = m_context.m_peers.ask(peer, body, timeout);
    if (!succeeded(reply) || !valueOf(reply).body.__isset.versionInForce)
        return std::nullopt;
    return static_cast<ConfigVersion>(valueOf(reply).body.versionInForce.version);
}

wire::Decisions Control::ownDecisions(const wire::DecisionsAsk &ask) const
{
    const bool isRequest = ask.__isset.request;
    const auto events = m_context.m_journal.history(isRequest ? DecisionSubject::Request
                                                              : DecisionSubject::Upstream,
                                                    isRequest ? ask.request : ask.upstream);
    wire::Decisions result;
    for (const DecisionEvent &event : events) {
        wire::Decision decision;
        decision.atMillis = event.m_at;
        decision.node = event.m_node.text();
        decision.what = decisionName(event.m_what);
        decision.why = decisionReasonName(event.m_why);
        decision.detail = event.m_detail;
        result.events.push_back(std::move(decision));
    }
    return result;
}

std::vector<DecisionEvent> Control::explain(DecisionSubject subject, const std::string &id,
                                            Duration timeout)
{
    std::vector<DecisionEvent> events = m_context.m_journal.history(subject, id);
    wire::DecisionsAsk ask;
    if (subject == DecisionSubject::Request)
        ask.__set_request(id);
    else
        ask.__set_upstream(id);
    for (const NodeView &view : m_fleet.membership().nodes()) {
        if (!view.isOpen())
            continue;
        wire::PeerRequestBody body;
        body.__set_decisionsAsk(ask);
        const auto reply = m_context.m_peers.ask(view.m_identity, body, timeout);
        if (!succeeded(reply))
            continue;
        for (const wire::Decision &decision : valueOf(reply).body.decisions.events) {
            DecisionEvent event;
            event.m_at = decision.atMillis;
            event.m_node = NodeId(decision.node);
            event.m_what = decisionFrom(decision.what).value_or(Decision::Received);
            event.m_why = decisionReasonFrom(decision.why).value_or(DecisionReason::None);
            event.m_detail = decision.detail;
            events.push_back(std::move(event));
        }
    }
    std::ranges::stable_sort(events, {}, &DecisionEvent::m_at);
    return events;
}

void Control::onOwnNotice(const LeavingNotice &notice)
{
    std::optional<TimePoint> deadline;
    if (notice.m_deadline != 0) {
        const auto left = std::chrono::milliseconds(notice.m_deadline - m_context.wallNow());
        deadline = m_context.now() + left;
    }
    const bool isZone = notice.m_cause == LeavingCause::ZoneReclaim;
    // Jobs are handed over at once, as there may be less time than the notice says.
    m_jobs.onReclaimNotice(isZone ? ReclaimScope::OwnDataCentre : ReclaimScope::OwnVm);
    shutDown(isZone ? DrainCause::ZoneReclaim : DrainCause::VmReclaim, deadline);
}

void Control::shutDown(DrainCause cause, std::optional<TimePoint> deadline)
{
    if (m_drain.phase() == DrainPhase::Serving)
        m_drain = Drain(drainSettingsOf(*m_config.view().fleet()));
    m_context.m_log.info("shutdown-begins", {{LogField::Reason, enumName(drainCauseNames, cause)}});
    run(m_drain.begin(cause, deadline, m_context.now()));
}

void Control::runDrain()
{
    for (int count = 0;; ++count) {
        if (count % ticksPerGauges == 0) {
            refreshGauges();
            excludeSilentPeers();
        }
        if (count % ticksPerLogReport == 0)
            m_context.m_log.reportSuppressed();
        m_fleet.exchange().setConfigDigest(wire::toWire(m_config.store().digest().m_digest));
        if (m_drain.phase() != DrainPhase::Serving) {
            const bool hasCallers = m_hooks.m_hasCallers && m_hooks.m_hasCallers();
            m_drain.setUnfinished({requestsInFlight(), m_jobs.unfinishedJobs(), hasCallers});
            run(m_drain.tick(m_context.now()));
        }
        sleepFiber(drainTick);
    }
}

void Control::refreshGauges()
{
    Metrics &metrics = m_context.m_metrics;
    countUpstreams();
    const JobTableCounters &jobs = m_jobs.table().counters();
    metrics.assign(Counter::JobTakeovers, jobs.m_takenOver);
    metrics.assign(Counter::Checkpoints, jobs.m_checkpointRecords);
    metrics.assign(Counter::CheckpointBytes, jobs.m_checkpointBytes);
    metrics.set(Gauge::JobsOwned, static_cast<std::int64_t>(m_jobs.table().ownedCount()));
    metrics.set(Gauge::ClaimShards, static_cast<std::int64_t>(m_claims.ledger().loadedShards()));
    metrics.set(Gauge::RequestsInFlight, static_cast<std::int64_t>(requestsInFlight()));
    metrics.assign(Counter::LogLinesSuppressed, m_context.m_log.suppressedLines());
    metrics.assign(Counter::LogLinesLost, m_context.m_log.lostLines());
    metrics.set(Gauge::Ready, unreadyReason() ? 0 : 1);
    metrics.set(Gauge::Draining, m_drain.phase() == DrainPhase::Serving ? 0 : 1);
    metrics.set(Gauge::PlatformUp, m_context.m_platform.isReachable() ? 1 : 0);
    metrics.set(Gauge::RequestsWaiting, static_cast<std::int64_t>(m_admission.waiting()));
    metrics.set(Gauge::PeersLive, static_cast<std::int64_t>(liveLocalNodes().size()) - 1);
    const FrameTraffic traffic = m_context.m_peers.traffic();
    metrics.assign(Counter::PeerFramesSent, traffic.m_framesSent);
    metrics.assign(Counter::PeerFramesReceived, traffic.m_framesReceived);
    metrics.assign(Counter::PeerBytesSent, traffic.m_bytesSent);
    metrics.assign(Counter::PeerBytesReceived, traffic.m_bytesReceived);
    const PlatformCalls &calls = m_context.m_platform.calls();
    metrics.assign(Counter::PlatformCalls, calls.m_reads + calls.m_writes + calls.m_watches);
    metrics.assign(Counter::PlatformFailures, calls.m_failures);
    metrics.assign(Counter::PlatformConflicts, calls.m_conflicts);
    metrics.assign(Counter::PlatformLimited, calls.m_limited);
    metrics.assign(Counter::PeerFramesRefused, m_context.m_peers.refusedFrames());
    const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_context.m_loop.processorTime());
    metrics.assign(Counter::ControlProcessorMillis, static_cast<std::uint64_t>(millis.count()));
}

/// Excludes silent nodes of the own data centre from the acknowledgement of new versions. VMs
/// vanish every day without notice. Then no host refuses the connection, so nothing proves that the
/// VM is gone, and its peers would keep new versions out of force until it sends again. The
/// price: a node that was only partitioned, is the only one with a new version and restarts during
/// an outage of the platform can come back with an older version.
void Control::excludeSilentPeers()
{
    const TimePoint now = m_context.now();
    for (const SeedPeer &peer : m_context.m_settings.m_peers) {
        if (peer.m_dataCentre != m_context.m_settings.m_dataCentre)
            continue;
        const NodeView *view = m_fleet.membership().find(peer.m_node);
        const TimePoint lastReceivedAt =
                std::max(view ? view->m_lastReceivedAt : m_startedAt, m_startedAt);
        if (now - lastReceivedAt > maxPeerSilence)
            m_config.onPeerSilent(peer.m_node);
    }
}

void Control::countUpstreams()
{
    std::int64_t live = 0;
    std::int64_t suspected = 0;
    std::int64_t leaving = 0;
    std::int64_t slots = 0;
    std::int64_t used = 0;
    for (const UpstreamView &view : m_fleet.upstreams().views()) {
        live += view.m_state == UpstreamState::Live ? 1 : 0;
        suspected += view.m_state == UpstreamState::Suspect ? 1 : 0;
        leaving += view.m_state == UpstreamState::Leaving ? 1 : 0;
        slots += view.m_load.m_slots;
        used += view.m_load.m_running;
    }
    Metrics &metrics = m_context.m_metrics;
    metrics.set(Gauge::UpstreamsLive, live);
    metrics.set(Gauge::UpstreamsSuspected, suspected);
    metrics.set(Gauge::UpstreamsLeaving, leaving);
    metrics.set(Gauge::UpstreamSlots, slots);
    metrics.set(Gauge::UpstreamSlotsUsed, used);
}

void Control::run(const DrainCommands &commands)
{
    for (const DrainCommand &command : commands)
        std::visit([this](const auto &value) { execute(value); }, command);
}

void Control::execute(const FailReadiness &command)
{
    m_context.m_log.info("readiness-fails", {{LogField::Reason, command.m_reason}});
    m_fleet.exchange().setDraining();
}

void Control::execute(const StopAccepting &command)
{
    m_context.m_log.info("accepting-stops", {{LogField::Reason, command.m_reason}});
    m_admission.drain();
    if (m_hooks.m_stopAccepting)
        m_hooks.m_stopAccepting();
}

void Control::execute(const HandOverJobs &command)
{
    m_context.m_log.info("jobs-handed-over", {{LogField::Reason, command.m_reason}});
    m_jobs.onReclaimNotice(ReclaimScope::OwnVm);
}

void Control::execute(const CutRemaining &command)
{
    m_context.m_log.error("requests-cut", {{LogField::Count, command.m_work.m_requests},
                                           {LogField::Reason, command.m_reason}});
    logCutRequests();
}

void Control::logCutRequests()
{
    if (!m_hooks.m_requestsUnderWay)
        return;
    const TimePoint now = m_context.now();
    const TimePoint signalAt = m_drain.schedule()->m_signalAt;
    for (const RequestUnderWay &request : m_hooks.m_requestsUnderWay()) {
        const Duration readSince = request.m_arrivedAt - signalAt;
        m_context.m_log.warning("request-cut-by-stop",
                                {request.m_id,
                                 request.m_service,
                                 request.m_profile,
                                 {LogField::ReadSinceSignalMillis, toMillis(readSince)},
                                 {LogField::HeldMillis, toMillis(now - request.m_arrivedAt)}});
    }
}

void Control::execute(const CloseConnections &)
{
    m_context.m_loop.spawn([this] { run(m_drain.closed(m_context.now())); });
}

void Control::execute(const ExitProcess &command)
{
    m_context.m_log.info("shutdown-ends", {{LogField::Reason, command.m_reason},
                                           {LogField::Count, command.m_cut.m_requests}});
    if (m_hooks.m_exit)
        m_hooks.m_exit(command.m_cut);
}

} // namespace gypsumdale
