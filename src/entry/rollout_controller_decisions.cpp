#include <gypsumdale/entry/rollout_controller.hpp>

#include <platform/wire_names.hpp>

#include <algorithm> // any_of, count_if
#include <variant> // get_if

/// How far roll-outs go, and what all VMs are told about them.
namespace gypsumdale {

namespace {

constexpr Duration decisionInterval = std::chrono::milliseconds(100);
/// Time after which what a VM has told of its requests is no longer counted.
constexpr Duration runningAge = std::chrono::seconds(3);
/// Time in which upstreams are ordered in place of those that a roll-out has stopped.
constexpr Duration replacementTime = std::chrono::seconds(30);

RolloutState finalState(RolloutStage stage)
{
    return stage == RolloutStage::Succeeded ? RolloutState::Succeeded : RolloutState::RolledBack;
}

} // namespace

void RolloutController::run()
{
    while (!m_context.m_isStopping) {
        const auto fence = m_fence();
        if (fence) {
            if (*fence != m_term)
                beginTerm(*fence);
            noteVersions();
            if (m_revision != 0 && hasUnconfirmedVersions())
                readOrders();
            std::vector<std::string> names;
            for (const auto &[name, managed] : m_managed)
                names.push_back(name);
            for (const std::string &name : names)
                decide(name);
        }
        const auto underWay =
                std::count_if(m_managed.begin(), m_managed.end(), [](const auto &entry) {
                    return !entry.second.m_rollout.isDecided();
                });
        m_context.m_metrics.set(Gauge::RolloutsUnderWay, fence ? underWay : 0);
        sleepFiber(decisionInterval);
    }
}

/// Begins anew: what earlier terms knew may be old.
void RolloutController::beginTerm(std::int64_t fence)
{
    m_term = fence;
    m_managed.clear();
    m_firstSeen.clear();
    m_confirmedAt = {};
    m_revision = 0;
}

void RolloutController::noteVersions()
{
    for (const auto &[id, record] : m_upstreams.upstreams())
        m_firstSeen.try_emplace({record.m_service, record.m_softwareVersion}, m_context.now());
}

bool RolloutController::hasUnconfirmedVersions() const
{
    return std::any_of(m_firstSeen.begin(), m_firstSeen.end(),
                       [this](const auto &entry) { return entry.second > m_confirmedAt; });
}

/// Returns the bad answers that the other versions don't explain. What running VMs tell again is
/// counted twice after a change of the deciding VM: too much rather than too little.
double RolloutController::badAnswers(const Managed &managed)
{
    return managed.m_earlierBadAnswers + managed.m_judge.excessBadAnswers();
}

RolloutObservation RolloutController::observe(const Managed &managed) const
{
    RolloutObservation seen;
    seen.m_now = m_context.now();
    seen.m_excessBadAnswers = badAnswers(managed);
    for (const auto &[id, record] : m_upstreams.upstreams()) {
        if (record.m_service != managed.m_rollout.m_service || record.m_isDraining)
            continue;
        const bool isTarget = record.m_softwareVersion == managed.m_rollout.m_target;
        ++(isTarget ? seen.m_targets : seen.m_others);
    }
    seen.m_verdict = managed.m_judge.verdict(seen.m_targets);
    for (const auto &[node, count] : managed.m_running) {
        if (seen.m_now - count.m_at <= runningAge)
            seen.m_runningAtOthers += count.m_running;
    }
    seen.m_requestRate = managed.m_reported.rate(seen.m_now);
    seen.m_canaryAnswers = managed.m_judge.answers();
    return seen;
}

void RolloutController::decide(const std::string &name)
{
    const auto found = m_managed.find(name);
    if (found == m_managed.end() || found->second.m_rollout.isDecided())
        return;
    Managed &managed = found->second;
    const RolloutObservation seen = observe(managed);
    const bool isChanged = managed.m_plan.advance(seen);
    if (isChanged)
        logStage(name, managed, seen);
    if (isChanged)
        m_changed();
    if (managed.m_plan.isDecided())
        record(name, finalState(managed.m_plan.stage()));
    else if (managed.m_rollout.m_state == RolloutState::Ordered)
        record(name, RolloutState::Running);
    else
        storeRecord(name, managed);
}

/// Records a state in the store. It is written only if the order is unchanged, and while this VM
/// holds the duties.
void RolloutController::record(const std::string &name, RolloutState state)
{
    if (!m_fence())
        return;
    const Rollout rollout = m_managed.at(name).m_rollout;
    const auto written = m_context.m_store.replaceStatus(
            platform::names::rolloutKind, platform::encodeRolloutStatus(name, rollout, state));
    const auto found = m_managed.find(name);
    if (!succeeded(written)) {
        m_context.m_log.warning("rollout-not-recorded",
                                {{LogField::Name, name},
                                 {LogField::State, enumName(rolloutStateNames, state)},
                                 {LogField::ErrorName, errorName(errorOf(written).m_id)},
                                 {LogField::Text, errorOf(written).m_text}});
        m_revision = 0;
        return;
    }
    m_context.m_log.info("rollout-recorded", {{LogField::Name, name},
                                              rollout.m_service,
                                              {LogField::TargetSoftwareVersion, rollout.m_target},
                                              {LogField::State, enumName(rolloutStateNames, state)},
                                              {LogField::Fence, m_term}});
    if (found == m_managed.end())
        return;
    Managed &managed = found->second;
    managed.m_rollout.m_state = state;
    managed.m_decidedAt = m_context.now();
    managed.m_rollout.m_revision = valueOf(written).m_revision;
    if (state == RolloutState::Succeeded) {
        for (const auto &[version, seenAt] : m_firstSeen) {
            if (version.first == rollout.m_service && version.second != rollout.m_target)
                managed.m_replaced.insert(version.second);
        }
    }
    m_changed();
}

void RolloutController::logStage(const std::string &name, Managed &managed,
                                 const RolloutObservation &seen)
{
    const auto *bad = std::get_if<CanaryBad>(&seen.m_verdict);
    m_context.m_log.warning(
            "rollout-stage",
            {{LogField::Name, name},
             managed.m_rollout.m_service,
             {LogField::TargetSoftwareVersion, managed.m_rollout.m_target},
             {LogField::Stage, enumName(rolloutStageNames, managed.m_plan.stage())},
             {LogField::Reason, enumName(rolloutReasonNames, managed.m_plan.reason())},
             {LogField::Share, managed.m_plan.share(seen)},
             {LogField::Route, bad ? std::string_view(bad->m_route) : "all"},
             {LogField::Answers, bad ? bad->m_answers : managed.m_judge.answers()},
             {LogField::BadAnswers,
              bad ? static_cast<double>(bad->m_badAnswers) : managed.m_judge.excessBadAnswers()},
             {LogField::ControlShare, bad ? bad->m_controlShare : 0.0},
             {LogField::Score, bad ? bad->m_score : 0.0},
             {LogField::Running, seen.m_runningAtOthers},
             {LogField::Count, seen.m_targets},
             {LogField::DeadlineMillis, toMillis(managed.m_plan.endsAt() - seen.m_now)}});
}

// --- Reports and answers

void RolloutController::takeReport(const RolloutReport &report)
{
    for (auto &[name, managed] : m_managed) {
        const Rollout &rollout = managed.m_rollout;
        if (rollout.m_service != report.m_service || rollout.m_target != report.m_target)
            continue;
        const TimePoint now = m_context.now();
        const CanaryEvidence increment =
                managed.m_reported.add(report.m_node, report.m_incarnation, report.m_answers, now);
        managed.m_judge.add(increment, now);
        managed.m_running[report.m_node] = {report.m_runningAtOthers, now};
    }
}

void RolloutController::takeOrder(const RolloutOrder &order)
{
    const auto found = m_managed.find(order.m_rollout);
    if (found == m_managed.end() || found->second.m_rollout.isDecided())
        return;
    RolloutPlan &plan = found->second.m_plan;
    if (order.m_action == RolloutAction::RollBack)
        plan.rollBack();
    else
        plan.setPaused(order.m_action == RolloutAction::Pause);
    m_context.m_log.warning("rollout-operator",
                            {{LogField::Name, order.m_rollout},
                             {LogField::Kind, enumName(rolloutActionNames, order.m_action)}});
    m_changed();
}

std::set<SoftwareVersion> RolloutController::undecidedTargets(const ServiceId &service) const
{
    std::set<SoftwareVersion> targets;
    for (const auto &[name, managed] : m_managed) {
        if (managed.m_rollout.m_service == service && !managed.m_rollout.isDecided())
            targets.insert(managed.m_rollout.m_target);
    }
    return targets;
}

bool RolloutController::hasReplaced(const ServiceId &service) const
{
    return std::any_of(m_managed.begin(), m_managed.end(), [this, &service](const auto &entry) {
        const Managed &managed = entry.second;
        return managed.m_rollout.m_service == service
               && managed.m_rollout.m_state == RolloutState::Succeeded
               && m_context.now() <= managed.m_decidedAt + replacementTime;
    });
}

bool RolloutController::isDeciding() const
{
    const auto fence = m_fence();
    return fence && *fence == m_term && m_confirmedAt != TimePoint{};
}

std::optional<RolloutDecision> RolloutController::decision()
{
    if (!isDeciding())
        return std::nullopt;
    RolloutDecision decision;
    decision.m_fence = m_term;
    decision.m_sequence = ++m_sequence;
    std::set<ServiceId> services;
    for (const auto &[id, record] : m_upstreams.upstreams())
        services.insert(record.m_service);
    for (const ServiceId &service : services)
        decision.m_access.emplace(service, accessOf(service));
    for (const auto &[name, managed] : m_managed)
        decision.m_views.push_back(viewOf(name, managed));
    return decision;
}

VersionAccess RolloutController::accessOf(const ServiceId &service) const
{
    VersionAccess access;
    if (const auto found = m_unusableTargets.find(service); found != m_unusableTargets.end())
        access.m_closed = found->second;
    if (const auto found = m_withdrawn.find(service); found != m_withdrawn.end())
        access.m_closed.insert(found->second.begin(), found->second.end());
    for (const auto &[name, managed] : m_managed) {
        const Rollout &rollout = managed.m_rollout;
        if (rollout.m_service != service)
            continue;
        if (rollout.m_state == RolloutState::Succeeded) {
            access.m_closed.insert(managed.m_replaced.begin(), managed.m_replaced.end());
            continue;
        }
        access.m_closed.insert(rollout.m_target);
        const RolloutObservation seen = observe(managed);
        const double share = managed.m_plan.share(seen);
        const bool isCounting = share > 0 || managed.m_plan.isMeasuring();
        if (isCounting && !rollout.isDecided())
            access.m_lease =
                    ExposureLease{rollout.m_target, share, canaryUpstreams(managed, seen), {}};
    }
    for (const auto &[version, seenAt] : m_firstSeen) {
        const bool isConfirmed = seenAt <= m_confirmedAt;
        if (version.first == service && isConfirmed && !access.m_closed.contains(version.second))
            access.m_open.insert(version.second);
    }
    return access;
}

/// Returns the upstreams that get the canary's part: always the same ones while they serve well, of
/// different data centres first. Whether a fault is an upstream's own shows at the next one.
std::set<UpstreamId> RolloutController::canaryUpstreams(const Managed &managed,
                                                        const RolloutObservation &seen) const
{
    const std::size_t count = managed.m_plan.upstreamCount(seen);
    std::set<UpstreamId> chosen;
    if (count == 0)
        return chosen;
    const std::set<UpstreamId> suspects = managed.m_judge.suspects();
    std::map<DataCentreId, std::vector<UpstreamId>> byDataCentre;
    for (const auto &[id, record] : m_upstreams.upstreams()) {
        const bool isTarget = record.m_service == managed.m_rollout.m_service
                              && record.m_softwareVersion == managed.m_rollout.m_target;
        if (isTarget && !record.m_isDraining && !suspects.contains(id))
            byDataCentre[record.m_dataCentre].push_back(id);
    }
    for (std::size_t rank = 0; rank < seen.m_targets && chosen.size() < count; ++rank) {
        for (const auto &[dataCentre, upstreams] : byDataCentre) {
            if (rank < upstreams.size() && chosen.size() < count)
                chosen.insert(upstreams[rank]);
        }
    }
    return chosen;
}

RolloutView RolloutController::viewOf(const std::string &name, const Managed &managed) const
{
    const RolloutObservation seen = observe(managed);
    const Rollout &rollout = managed.m_rollout;
    RolloutView view;
    view.m_rollout = name;
    view.m_service = rollout.m_service.text();
    view.m_target = rollout.m_target.text();
    view.m_stage = rollout.isDecided() ? enumName(rolloutStateNames, rollout.m_state)
                                       : enumName(rolloutStageNames, managed.m_plan.stage());
    view.m_reason = enumName(rolloutReasonNames, managed.m_plan.reason());
    view.m_share = rollout.isDecided() ? 0 : managed.m_plan.share(seen);
    view.m_answers = managed.m_judge.answers();
    view.m_badAnswers = static_cast<std::int64_t>(managed.m_judge.excessBadAnswers());
    view.m_controlAnswers = managed.m_judge.controlAnswers();
    view.m_remainingMillis = toWholeMillis(managed.m_plan.endsAt() - seen.m_now);
    view.m_isPaused = managed.m_plan.isPaused();
    return view;
}

} // namespace gypsumdale
