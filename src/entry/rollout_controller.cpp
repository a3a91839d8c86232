#include <gypsumdale/entry/rollout_controller.hpp>

#include <platform/duty_codec.hpp>
#include <platform/wire_names.hpp>

#include <algorithm> // max

/// The orders of roll-outs in the store, and what is kept there about them.
namespace gypsumdale {

namespace {

constexpr Duration idleInterval = std::chrono::milliseconds(150);
constexpr Duration failureDelay = std::chrono::milliseconds(200);
/// A watch whose connection becomes silent costs its wait.
constexpr Duration watchWait = std::chrono::seconds(4);
/// Number of new bad answers after which the record of a roll-out is written again.
constexpr double recordedBadAnswers = 5;

bool isSameOrder(const Rollout &left, const Rollout &right)
{
    return left.m_service == right.m_service && left.m_target == right.m_target
           && left.m_duration == right.m_duration
           && left.m_createdRevision == right.m_createdRevision;
}

} // namespace

RolloutController::RolloutController(EntryContext &context, EntryUpstreamFeed &upstreams,
                                     CurrentFence fence, Changed changed)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_fence(std::move(fence))
    , m_changed(std::move(changed))
    , m_store(context.m_log, "store-rollouts")
{}

void RolloutController::followOrders()
{
    while (!m_context.m_isStopping) {
        if (!m_fence()) {
            sleepFiber(idleInterval);
            continue;
        }
        if (m_revision == 0)
            readOrders();
        else
            watchOrders();
        if (m_store.isLost())
            sleepFiber(failureDelay);
    }
}

void RolloutController::readOrders()
{
    const TimePoint sentAt = m_context.now();
    const auto listing = m_context.m_store.list(platform::names::rolloutKind,
                                                platform::ReadFreshness::Linearizable);
    if (!succeeded(listing)) {
        m_store.failed(errorOf(listing));
        return;
    }
    m_store.answered(m_context.now());
    m_revision = valueOf(listing).m_revision;
    applyOrders(platform::decodeRollouts(valueOf(listing)), sentAt);
}

/// Waits for a change. Orders are few, so that all of them are read again after one.
void RolloutController::watchOrders()
{
    const auto changes =
            m_context.m_store.watch(platform::names::rolloutKind, m_revision, watchWait);
    if (!succeeded(changes)) {
        m_revision = 0;
        if (errorOf(changes).m_id != ErrorId::PlatformRefused)
            m_store.failed(errorOf(changes));
        return;
    }
    m_store.answered(m_context.now());
    if (!valueOf(changes).m_events.empty())
        readOrders();
    else
        m_revision = valueOf(changes).m_revision;
}

void RolloutController::applyOrders(RolloutList list, TimePoint sentAt)
{
    for (auto &[name, managed] : m_managed) {
        const auto found = list.m_rollouts.find(name);
        if (found == list.m_rollouts.end() || !isSameOrder(managed.m_rollout, found->second))
            withdraw(name, managed);
        else if (found->second.m_revision >= managed.m_rollout.m_revision)
            managed.m_rollout = found->second;
    }
    std::erase_if(m_managed, [&list](const auto &entry) {
        const auto found = list.m_rollouts.find(entry.first);
        return found == list.m_rollouts.end()
               || !isSameOrder(entry.second.m_rollout, found->second);
    });
    m_unusableTargets = list.m_unusableTargets;
    if (m_unusable != list.m_unusable) {
        m_unusable = list.m_unusable;
        logUnusable();
    }
    for (const auto &[name, rollout] : list.m_rollouts) {
        if (!m_managed.contains(name))
            manage(name, rollout);
    }
    m_confirmedAt = sentAt;
    m_changed();
}

void RolloutController::logUnusable()
{
    for (const auto &[name, fault] : m_unusable)
        m_context.m_log.warning("rollout-unusable",
                                {{LogField::Name, name}, {LogField::Reason, fault}});
}

/// Keeps an order's target closed where the order is deleted or rewritten before it was accepted.
void RolloutController::withdraw(const std::string &name, const Managed &managed)
{
    const Rollout &rollout = managed.m_rollout;
    if (rollout.m_state == RolloutState::Succeeded)
        return;
    m_withdrawn[rollout.m_service].insert(rollout.m_target);
    m_context.m_log.warning(
            "rollout-withdrawn",
            {{LogField::Name, name},
             rollout.m_service,
             {LogField::TargetSoftwareVersion, rollout.m_target},
             {LogField::Stage, enumName(rolloutStageNames, managed.m_plan.stage())}});
}

void RolloutController::manage(const std::string &name, const Rollout &rollout)
{
    const auto loaded = loadRecord(name, rollout);
    if (!loaded)
        return;
    const TimePoint now = m_context.now();
    const WallMillis wall =
            m_context.m_trafficLoop.call([this] { return m_context.m_traffic.wallNow(); });
    const Duration age =
            std::chrono::milliseconds(std::max<WallMillis>(0, wall - loaded->m_orderedAt));
    ExposureBounds bounds;
    bounds.m_share = m_context.m_settings.m_bounds.m_exposureShare;
    bounds.m_slack = m_context.m_settings.m_bounds.m_exposureSlack;
    Managed managed{rollout,
                    *loaded,
                    loaded->m_excessBadAnswers,
                    RolloutPlan(bounds, rollout.m_duration, now - age, now),
                    CanaryJudge(),
                    {},
                    {},
                    now,
                    {}};
    m_withdrawn[rollout.m_service].erase(rollout.m_target);
    m_context.m_log.info("rollout-ordered",
                         {{LogField::Name, name},
                          rollout.m_service,
                          {LogField::TargetSoftwareVersion, rollout.m_target},
                          {LogField::State, enumName(rolloutStateNames, rollout.m_state)},
                          {LogField::AgeMillis, toMillis(age)},
                          {LogField::DeadlineMillis, toMillis(rollout.m_duration)},
                          {LogField::BadAnswers, loaded->m_excessBadAnswers}});
    m_managed.insert_or_assign(name, std::move(managed));
    if (rollout.m_state == RolloutState::Ordered)
        record(name, RolloutState::Running);
}

/// Returns what an earlier deciding VM has left about an order, or a new record; nothing if the
/// store doesn't answer.
std::optional<platform::RolloutRecord> RolloutController::loadRecord(const std::string &name,
                                                                     const Rollout &rollout)
{
    platform::RolloutRecord record;
    const auto object =
            m_context.m_store.get(platform::dutyKind, platform::rolloutRecordName(name));
    if (succeeded(object))
        record = platform::decodeRolloutRecord(valueOf(object));
    else if (errorOf(object).m_id != ErrorId::PlatformNotFound) {
        m_store.failed(errorOf(object));
        m_revision = 0;
        return std::nullopt;
    }
    const bool isSame = record.m_target == rollout.m_target
                        && record.m_createdRevision == rollout.m_createdRevision;
    if (isSame)
        return record;
    platform::RolloutRecord begun;
    begun.m_revision = record.m_revision;
    begun.m_target = rollout.m_target;
    begun.m_createdRevision = rollout.m_createdRevision;
    begun.m_orderedAt =
            m_context.m_trafficLoop.call([this] { return m_context.m_traffic.wallNow(); });
    const platform::StoreObject encoded = platform::encodeRolloutRecord(name, begun);
    const auto written = begun.m_revision == 0
                                 ? m_context.m_store.create(platform::dutyKind, encoded)
                                 : m_context.m_store.replace(platform::dutyKind, encoded);
    if (!succeeded(written)) {
        m_store.failed(errorOf(written));
        m_revision = 0;
        return std::nullopt;
    }
    begun.m_revision = valueOf(written).m_revision;
    return begun;
}

/// Writes down how many bad answers there were, for a successor that starts without evidence.
void RolloutController::storeRecord(const std::string &name, Managed &managed)
{
    platform::RolloutRecord next = managed.m_record;
    next.m_excessBadAnswers = badAnswers(managed);
    if (next.m_excessBadAnswers < managed.m_record.m_excessBadAnswers + recordedBadAnswers)
        return;
    managed.m_record = next;
    const auto written = m_context.m_store.replace(platform::dutyKind,
                                                   platform::encodeRolloutRecord(name, next));
    const auto found = m_managed.find(name);
    if (found == m_managed.end())
        return;
    if (succeeded(written))
        found->second.m_record.m_revision = valueOf(written).m_revision;
    else
        m_context.m_log.warning(
                "rollout-evidence-not-stored",
                {{LogField::Name, name}, {LogField::ErrorName, errorName(errorOf(written).m_id)}});
}

} // namespace gypsumdale
