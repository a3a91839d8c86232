#include <gypsumdale/serving/rollout_plan.hpp>

#include <algorithm> // clamp, max, min
#include <array> // array
#include <cmath> // ceil
#include <variant> // get_if, holds_alternative

namespace gypsumdale {

namespace {

/// Part of a roll-out's time in which its answers are judged before requests are handed over.
constexpr double observedFraction = 0.55;
/// Time in which the evidence of all VMs reaches one that has just begun to decide.
constexpr Duration settleTime = std::chrono::milliseconds(1000);
/// Parts of the requests during the ramp, each for one step.
constexpr std::array<double, 2> rampShares = {0.25, 0.5};
constexpr Duration rampStep = std::chrono::milliseconds(700);
/// Least time for the other versions' streams to end.
constexpr Duration minHandover = std::chrono::milliseconds(800);
/// Time in which the answers of a request sent before the handover are counted.
constexpr Duration minHandoverTime = std::chrono::milliseconds(1000);
/// Limits of the time kept for recording the result in a store that may be slow.
constexpr double writeFraction = 0.08;
constexpr Duration minWriteMargin = std::chrono::milliseconds(1000);
constexpr Duration maxWriteMargin = std::chrono::seconds(3);
/// Part of the allowed exposure that the canary is to get in the observed part of the time, as
/// requests are drawn at random and a ramp adds to them.
constexpr double plannedExposure = 0.6;
/// The same until the last moment for a ramp, where too little was known before.
constexpr double extendedExposure = 0.75;
/// Least time over which the rest is spread, in seconds.
constexpr double minPlannedSeconds = 1;
constexpr double minCanaryShare = 0.01;
constexpr double maxCanaryShare = 0.4;
/// More answers a second of the new version say little more.
constexpr double maxCanaryRate = 30;
/// Load of a new version's upstream during the canary, relative to one of the others.
constexpr double canaryLoad = 1.3;
constexpr std::size_t minCanaryUpstreams = 1;
/// Least upstreams of the new version, relative to the others, to take over their requests.
constexpr double minCapacity = 0.5;
/// A version is rolled back at this many bad answers at the latest, whatever the test says.
constexpr double maxExcessBadAnswers = 25;

bool hasCapacity(const RolloutObservation &seen)
{
    return static_cast<double>(seen.m_targets) >= minCapacity * static_cast<double>(seen.m_others);
}

} // namespace

RolloutPlan::RolloutPlan(ExposureBounds bounds, Duration duration, TimePoint orderedAt,
                         TimePoint begunAt)
    : m_bounds(bounds)
    , m_duration(duration)
    , m_orderedAt(orderedAt)
    , m_begunAt(begunAt)
    , m_stageSince(begunAt)
{}

Duration RolloutPlan::writeMargin() const
{
    const auto part = std::chrono::duration_cast<Duration>(writeFraction * m_duration);
    return std::clamp(part, minWriteMargin, maxWriteMargin);
}

void RolloutPlan::enter(RolloutStage stage, RolloutReason reason, TimePoint now)
{
    m_stage = stage;
    m_reason = reason;
    m_stageSince = now;
}

void RolloutPlan::rollBack()
{
    if (!isDecided())
        enter(RolloutStage::RolledBack, RolloutReason::Operator, m_stageSince);
}

/// Returns why the version can't be accepted any more, or nothing if it still may be.
std::optional<RolloutReason> RolloutPlan::reasonToRollBack(const RolloutObservation &seen) const
{
    if (std::holds_alternative<CanaryBad>(seen.m_verdict))
        return RolloutReason::AnswersBad;
    if (seen.m_excessBadAnswers >= maxExcessBadAnswers)
        return RolloutReason::TooManyBadAnswers;
    const bool isHandingOver = m_stage == RolloutStage::Ramp || m_stage == RolloutStage::Handover;
    if (isHandingOver || seen.m_now < latestRamp())
        return std::nullopt;
    if (seen.m_targets == 0)
        return RolloutReason::NoUpstreams;
    return hasCapacity(seen) ? RolloutReason::TooLittleEvidence : RolloutReason::TooFewUpstreams;
}

bool RolloutPlan::advance(const RolloutObservation &seen)
{
    if (isDecided())
        return false;
    const RolloutStage before = m_stage;
    if (const auto reason = reasonToRollBack(seen)) {
        enter(RolloutStage::RolledBack, *reason, seen.m_now);
        return true;
    }
    switch (m_stage) {
    case RolloutStage::Waiting:
        if (seen.m_targets > 0 && seen.m_now >= m_begunAt + settleTime)
            enter(RolloutStage::Canary, RolloutReason::UpstreamsReady, seen.m_now);
        break;
    case RolloutStage::Canary:
        advanceCanary(seen);
        break;
    case RolloutStage::Ramp:
        if (seen.m_now >= m_stageSince + rampStep * rampShares.size())
            enter(RolloutStage::Handover, RolloutReason::Sound, seen.m_now);
        break;
    case RolloutStage::Handover:
        if (seen.m_now >= handoverEnd())
            enter(RolloutStage::Succeeded, RolloutReason::TimeUsedUp, seen.m_now);
        else if (seen.m_runningAtOthers == 0 && seen.m_now >= m_stageSince + minHandoverTime)
            enter(RolloutStage::Succeeded, RolloutReason::OthersDone, seen.m_now);
        break;
    case RolloutStage::Succeeded:
    case RolloutStage::RolledBack:
        break;
    }
    return m_stage != before;
}

void RolloutPlan::advanceCanary(const RolloutObservation &seen)
{
    if (seen.m_targets == 0) {
        enter(RolloutStage::Waiting, RolloutReason::NoUpstreams, seen.m_now);
        return;
    }
    if (m_isPaused || seen.m_now < observedUntil())
        return;
    if (hasCapacity(seen) && std::holds_alternative<CanarySound>(seen.m_verdict))
        enter(RolloutStage::Ramp, RolloutReason::Sound, seen.m_now);
}

TimePoint RolloutPlan::observedUntil() const
{
    return m_orderedAt + std::chrono::duration_cast<Duration>(observedFraction * m_duration);
}

/// Returns the last moment at which a ramp leaves time for the handover.
TimePoint RolloutPlan::latestRamp() const
{
    return handoverEnd() - rampStep * rampShares.size() - minHandover;
}

/// Returns a fraction with which a version that is found to be bad at the end stays within the
/// bound.
double RolloutPlan::canaryShare(const RolloutObservation &seen) const
{
    if (seen.m_requestRate <= 0)
        return plannedExposure * m_bounds.m_share;
    const double requests = seen.m_requestRate * toSeconds(m_duration);
    const double allowed = m_bounds.m_share * requests + m_bounds.m_slack;
    const double even = plannedExposure * allowed / (observedFraction * requests);
    const double planned = std::max(even, shareAfterTakeover(seen, allowed));
    const double limited = maxCanaryRate / seen.m_requestRate;
    return std::clamp(std::min(planned, limited), minCanaryShare, maxCanaryShare);
}

/// Returns the fraction that makes up for what was not exposed while no VM decided, 0 if this VM is
/// the first that decides. A small fleet would have too few answers otherwise.
double RolloutPlan::shareAfterTakeover(const RolloutObservation &seen, double allowed) const
{
    if (m_begunAt <= m_orderedAt + settleTime)
        return 0;
    const bool isExtended = seen.m_now >= observedUntil();
    const Duration left = (isExtended ? latestRamp() : observedUntil()) - seen.m_now;
    const double planned = (isExtended ? extendedExposure : plannedExposure) * allowed;
    const double unspent = planned - static_cast<double>(seen.m_canaryAnswers);
    return unspent / (seen.m_requestRate * std::max(toSeconds(left), minPlannedSeconds));
}

double RolloutPlan::share(const RolloutObservation &seen) const
{
    if (m_isPaused)
        return 0;
    switch (m_stage) {
    case RolloutStage::Canary:
        return canaryShare(seen);
    case RolloutStage::Ramp: {
        const auto step = static_cast<std::size_t>((seen.m_now - m_stageSince) / rampStep);
        return rampShares[std::min(step, rampShares.size() - 1)];
    }
    case RolloutStage::Handover:
    case RolloutStage::Succeeded:
        return 1;
    case RolloutStage::Waiting:
    case RolloutStage::RolledBack:
        break;
    }
    return 0;
}

std::size_t RolloutPlan::upstreamCount(const RolloutObservation &seen) const
{
    if (m_stage != RolloutStage::Canary)
        return 0;
    const double loads = share(seen) * static_cast<double>(seen.m_others) / canaryLoad;
    return std::max(minCanaryUpstreams, static_cast<std::size_t>(loads));
}

} // namespace gypsumdale
