#include <gypsumdale/entry/boot_clock.hpp>
#include <gypsumdale/entry/entry_traffic.hpp>

#include <entry/entry_call.hpp>
#include <entry/run_mover.hpp>

#include <algorithm> // max
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Number of usage windows kept: a report is due two windows after the end of its window.
constexpr WindowNumber retainedWindows = 6;

/// Returns this VM's load at an upstream, for its peers.
InFlightLoad loadOf(const PooledUpstream &upstream)
{
    InFlightLoad load = upstream.m_own;
    load.m_startedAt = upstream.m_record.m_startedAt;
    return load;
}

RetryBudgetShareSettings retrySettings(const EntrySettings &settings, TimePoint now)
{
    RetryBudgetShareSettings retries;
    retries.m_ratio = settings.m_bounds.m_retryRatio;
    retries.m_slack = settings.m_bounds.m_retrySlack;
    retries.m_window = settings.m_bounds.m_retryWindow;
    if (!settings.m_isFirstStart)
        retries.m_restartedAt = now;
    return retries;
}

FleetQuotaSettings quotaSettings(const EntrySettings &settings, TimePoint now)
{
    FleetQuotaSettings quota;
    quota.m_window = settings.m_bounds.m_quotaWindow;
    quota.m_overage = settings.m_bounds.m_quotaOverage;
    quota.m_slack = settings.m_bounds.m_quotaSlack;
    if (!settings.m_isFirstStart)
        quota.m_restartedAt = now;
    return quota;
}

} // namespace

EntryTraffic::EntryTraffic(const EntrySettings &settings, FiberLoop &loop, const Clock &clock,
                           Logger &log, Metrics &metrics)
    : m_settings(settings)
    , m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_client(loop, metrics, m_answerMemory)
    , m_backpressure(settings.m_node, m_pool, clock, log, metrics)
    , m_connections(clock)
    , m_placementDeadline(settings.m_bounds.m_leavingApply)
    , m_speeds(settings.m_dataCentre)
    , m_quota(quotaSettings(settings, clock.now()))
    , m_retryBudget(retrySettings(settings, clock.now()))
    , m_usage(settings.m_bounds.m_usageWindow)
    , m_mover(std::make_unique<RunMover>(loop, m_client, m_pool, m_retryBudget, log,
                                         settings.m_dataCentre, clock))
    , m_relay(loop, m_pool, clock, log, metrics, [this] { return draw(); })
    , m_origins(clock, metrics, settings.m_node.text())
    , m_crashes(clock)
    , m_rollouts(settings.m_cloud.has_value(), m_pool, clock, metrics)
    , m_waiting(settings.m_shortageQueue == ShortageQueue::On, loop, m_pool, clock, log, metrics,
                std::hash<std::string>()(settings.m_node.text())
                        ^ static_cast<std::uint64_t>(clock.wallNow()))
    , m_startupKnowledge(clock.now())
    , m_randomState(std::hash<std::string>()(settings.m_node.text())
                    ^ static_cast<std::uint64_t>(clock.wallNow()))
{
    m_mover->onContinuation(
            [this](const PooledUpstream &upstream) { return mayContinueAt(upstream); });
    m_pool.onRequestEnded([this](const ServiceId &service) {
        if (m_pool.limitsConnections(service))
            m_connections.recordEnd(service);
    });
}

EntryTraffic::~EntryTraffic() = default;

void EntryTraffic::handle(const HttpRequest &request, HttpResponder &responder)
{
    EntryCall(*this, request, responder, CallSource::Caller).run();
}

void EntryTraffic::handleRelayed(const HttpRequest &request, HttpResponder &responder)
{
    if (const auto reason = m_relay.refusalFor(request.m_remoteAddress)) {
        const RequestId id = platform::decodeRequest(request).m_id;
        m_log.warning(
                "relayed-request-not-taken",
                {id, {LogField::Address, request.m_remoteAddress}, {LogField::Reason, *reason}});
        responder.send(platform::relayRefusal(id, *reason, 0));
        return;
    }
    const EntryRelay::TakenRequest taken = m_relay.take();
    EntryCall(*this, request, responder, CallSource::Peer).run();
}

EntryTraffic::CallRegistration EntryTraffic::registerCall(EntryCall &call)
{
    if (m_isCancellingCalls)
        call.cancelForShutdown();
    return {m_activeCalls, call};
}

std::optional<DurationForecast> EntryTraffic::forecastCompletion(const ServingRoute &route) const
{
    std::vector<TimePoint> underWay;
    for (const EntryCall *call : m_activeCalls) {
        if (call->countsFor(route))
            underWay.push_back(call->arrivedAt());
    }
    return m_completions.forecast(route, now(), underWay);
}

void EntryTraffic::beginStop(const StopSchedule &schedule)
{
    m_stopSchedule = schedule;
    m_relay.close();
}

std::size_t EntryTraffic::cancelCalls()
{
    m_isCancellingCalls = true;
    m_waiting.drain();
    // The set doesn't change during the loop: each call is removed by its own fiber, which runs
    // later.
    for (EntryCall *call : m_activeCalls) {
        if (m_stopSchedule)
            call->logCutByStop(*m_stopSchedule);
        call->cancelForShutdown();
    }
    return m_activeCalls.size();
}

void EntryTraffic::setView(ServingViewPointer view)
{
    m_view = std::move(view);
    m_startupKnowledge.recordConfiguration();
    m_waiting.setView(*m_view);
    m_completions.retainRoutes(m_view->config());
    std::map<ServiceId, int> limits;
    for (const auto &[id, service] : m_view->config().m_services) {
        limits[id] = service.m_maxConnections;
        if (service.m_maxConnections < 0)
            m_log.warning("connection-limit-invalid",
                          {id, {LogField::Limit, service.m_maxConnections}});
    }
    m_pool.setConnectionLimits(std::move(limits));
    m_connections.recordChange();
}

void EntryTraffic::setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams,
                                std::int64_t revision)
{
    m_startupKnowledge.recordUpstreams();
    const bool isConfirmed = m_listConfirmation.m_confirmedAt != TimePoint{};
    m_pool.update(upstreams, revision,
                  isConfirmed ? std::optional(m_listConfirmation.m_confirmedAt) : std::nullopt);
    m_speeds.setUpstreams(upstreams);
    m_rollouts.setUpstreams(upstreams);
    m_connections.recordChange();
    m_waiting.refresh();
    logVersions(upstreams);
    m_mover->scheduleMoves();
}

/// Logs once which software versions serve side by side, whenever that changes.
void EntryTraffic::logVersions(const std::map<UpstreamId, UpstreamRecord> &upstreams)
{
    std::map<ServiceId, SoftwareVersions> versions = versionsByService(upstreams);
    for (const auto &[service, present] : versions) {
        if (m_loggedVersions[service] == present)
            continue;
        m_log.info("service-versions", {service,
                                        {LogField::Count, present.size()},
                                        {LogField::SoftwareVersion, versionsText(present)}});
    }
    m_loggedVersions = std::move(versions);
}

void EntryTraffic::setListConfirmation(const ListConfirmation &list,
                                       const PlacementDeadline &deadline)
{
    m_listConfirmation = list;
    m_listConfirmation.m_isUnconfirmable =
            list.m_isUnconfirmable || list.m_confirmedAt == TimePoint{};
    m_placementDeadline = deadline;
}

/// Returns whether a run that is stopped elsewhere may go on at an upstream now.
bool EntryTraffic::mayContinueAt(const PooledUpstream &upstream) const
{
    const bool isStaying =
            !upstream.m_isGone && !upstream.m_isReplaced && !upstream.m_record.m_isDraining;
    return isStaying && placementDeadline()
           && !m_pool.backpressure().isResting(upstream.process(), now());
}

std::optional<TimePoint> EntryTraffic::deadlineWhileLeaving(const PooledUpstream &upstream) const
{
    if (!upstream.m_notLeavingAt)
        return std::nullopt;
    const TimePoint until = m_placementDeadline.deliveryDeadline(*upstream.m_notLeavingAt);
    return now() < until ? std::optional(until) : std::nullopt;
}

void EntryTraffic::setFleetSize(std::size_t nodes, std::size_t expected)
{
    if (m_retryBudget.setFleetSize(nodes))
        m_log.info("retry-budget-shared",
                   {{LogField::Count, nodes}, {LogField::Limit, m_retryBudget.slackShare()}});
    // A VM that has just started may not know of most of the others yet.
    if (m_pool.setFleetSize(std::max(nodes, expected))) {
        logConnectionShares();
        m_connections.recordChange();
    }
    m_backpressure.setFleetSize(std::max(nodes, expected));
    m_promptAnnouncer.setFleet(nodes, m_isSpreadOut);
    m_quota.setExpectedFleetSize(expected);
    // The cautious size for budgets, many times that of a small fleet, would leave slots unused.
    m_waiting.setFleetSize(expected > 0 ? expected : nodes);
}

QuotaDecision EntryTraffic::admitByQuota(const ClientAccount &account, double cost)
{
    const bool hasQuota = account.m_ratePerSecond > 0;
    if (!hasQuota || !m_usesQuotaOwners || !m_askQuotaOwner)
        return m_quota.admit(account, cost, now());
    const QuotaDecision decision = m_askQuotaOwner(account, cost);
    if (decision.m_verdict == QuotaVerdict::Admitted)
        m_quota.recordAdmitted(account.m_id, cost, now());
    return decision;
}

/// Logs among how many VMs the connections to an upstream are shared.
void EntryTraffic::logConnectionShares() const
{
    for (const auto &[service, limit] : m_pool.connectionLimits()) {
        m_log.info("connections-shared",
                   {service, {LogField::Count, m_pool.fleetSize()}, {LogField::Limit, limit}});
    }
}

void EntryTraffic::setPeer(const PeerReport &report)
{
    m_quota.setPeerUsage(report.m_node, report.m_accounts, now());
    m_pool.setPeerLoad(report.m_node, report.m_loads, now());
    m_backpressure.setPeer(report.m_node, report.m_backpressure);
    m_prefillRates.setPeer(report.m_node, report.m_reading);
    if (const std::size_t invalid = m_speeds.mergePeer(report.m_node, report.m_speeds, now()))
        m_log.warning("peer-speeds-invalid",
                      {{LogField::Peer, report.m_node}, {LogField::Count, invalid}});
    m_relay.peers().set(report.m_node, report.m_relay);
    if (report.m_earlierRetries)
        continueRetries(report.m_node, *report.m_earlierRetries);
    for (const auto &[window, counts] : report.m_usage)
        m_usage.setPeer(report.m_node, report.m_incarnation, window, counts, now());
    for (const EndedProcessUsage &ended : report.m_endedUsage)
        m_usage.mergeEnded(ended);
    m_peerOffsets[report.m_node] = report.m_wallOffset;
    m_waiting.setPeer(report.m_node, report.m_incarnation, report.m_turns);
    m_waiting.refresh();
}

/// Goes on with what earlier processes of this VM have spent of the retry budget.
void EntryTraffic::continueRetries(const std::string &peer, const EarlierRetries &earlier)
{
    if (!m_retryBudget.setEarlier(earlier))
        return;
    std::int64_t retries = 0;
    for (const auto &[service, slots] : earlier.m_history.m_slots) {
        for (const RetrySlot &slot : slots)
            retries += slot.m_counts.m_retries;
    }
    m_log.info("retry-budget-continued",
               {{LogField::Peer, peer},
                {LogField::Used, retries},
                {LogField::AgeMillis, toMillis(now() - earlier.m_lastReportAt)}});
}

CrashKnowledge EntryTraffic::crashKnowledge(const ServiceId &service,
                                            const CrashElements &elements) const
{
    return {m_crashes.provenOf(service, elements), m_relay.isCutOff(service)};
}

void EntryTraffic::removePeer(const std::string &node)
{
    m_pool.removePeer(node);
    m_backpressure.removePeer(node);
    m_prefillRates.removePeer(node);
    m_speeds.removePeer(node);
    m_relay.peers().remove(node);
    m_waiting.removePeer(node);
    m_waiting.refresh();
    m_peerOffsets.erase(node);
}

WallMillis EntryTraffic::wallNow()
{
    return m_wallClock.read(bootNow(), m_clock.wallNow());
}

TrafficReport EntryTraffic::report()
{
    std::vector<WallMillis> offsets;
    for (const auto &[node, offset] : m_peerOffsets)
        offsets.push_back(offset);
    const std::size_t peers = offsets.size();
    if (const WallMillis correction = m_wallClock.adjustToPeers(std::move(offsets)))
        m_log.warning("clock-put-right",
                      {{LogField::Millis, correction}, {LogField::Count, peers}});
    m_peerOffsets.clear();

    m_metrics.assign(Counter::Retries, m_retryBudget.takenTotal());
    m_metrics.assign(Counter::RetriesDenied, m_retryBudget.deniedTotal());

    TrafficReport result;
    result.m_wall = wallNow();
    m_usage.removeBefore(m_usage.windowAt(result.m_wall) - retainedWindows);
    m_isReportRequested = false;
    result.m_relay = m_relay.status();
    result.m_retries = m_retryBudget.report(now());
    // Owners decide by what they are asked, not by reports.
    if (!m_usesQuotaOwners)
        result.m_accounts = m_quota.localUsage(now());
    result.m_turns = m_waiting.report();
    result.m_backpressure = m_backpressure.report();
    result.m_usage = m_usage.own();
    result.m_endedUsage = m_usage.ended(now());
    result.m_ownPrefill = m_prefillRates.ownRates(now());
    m_fleetPrefill = m_prefillRates.fleetRates(now());
    result.m_fleetPrefill = m_fleetPrefill;
    updateSpeeds();
    result.m_speeds = m_speeds.shared();
    for (const auto &[id, upstream] : m_pool.upstreams()) {
        if (upstream->m_own.m_running > 0)
            result.m_loads[id] = loadOf(*upstream);
        result.m_running[upstream->m_record.m_service] += upstream->running();
    }
    return result;
}

/// Recomputes the upstreams' speeds for placements, and logs each that became faster or slower than
/// usual.
void EntryTraffic::updateSpeeds()
{
    const std::vector<SpeedChange> changes = m_speeds.update(now());
    m_pool.setSpeeds(m_speeds.placementSpeeds());
    for (const SpeedChange &change : changes) {
        m_log.info("upstream-speed", {change.m_upstream,
                                      change.m_service,
                                      {LogField::State, enumName(speedStateNames, change.m_state)},
                                      {LogField::ReadingSpeed, change.m_tokensPerSecond},
                                      {LogField::RelativeSpeed, change.m_relative},
                                      {LogField::Samples, change.m_samples},
                                      {LogField::Count, change.m_vms}});
    }
    if (!changes.empty())
        m_metrics.set(Gauge::UnevenUpstreams, m_speeds.unevenCount());
}

bool EntryTraffic::takeRetry(const ServiceId &service)
{
    if (!m_retryBudget.tryTake(service, now()))
        return false;
    if (m_retryBudget.shouldReport() && !std::exchange(m_isReportRequested, true) && m_retriesTaken)
        m_retriesTaken();
    return true;
}

bool EntryTraffic::shouldAnnounce(const ServiceId &service, std::int64_t ownTokens)
{
    const double speed = tokensWithin(service, std::chrono::seconds(1));
    return m_promptAnnouncer.shouldAnnounce(static_cast<double>(ownTokens), speed, now());
}

void EntryTraffic::recordPlacement(const PooledUpstream &upstream, std::int64_t ownTokens,
                                   bool shouldAnnounce)
{
    const UpstreamRecord &record = upstream.m_record;
    m_placementListAge.note(toWholeMillis(listAge()));
    m_prefillRates.own(record.m_service).recordPlacement(ownTokens, now());
    if (shouldAnnounce && m_longPromptPlaced)
        m_longPromptPlaced(record.m_id, loadOf(upstream));
}

double EntryTraffic::tokensWithin(const ServiceId &service, Duration time) const
{
    const auto found = m_fleetPrefill.find(service);
    const double speed = found == m_fleetPrefill.end() ? 0 : found->second.m_speed;
    return speed * toSeconds(time);
}

double EntryTraffic::random()
{
    return static_cast<double>(draw() >> 11) / 9007199254740992.0;
}

std::uint64_t EntryTraffic::draw()
{
    // A linear congruential generator is sufficient to spread retries and placements.
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return m_randomState;
}

} // namespace gypsumdale
