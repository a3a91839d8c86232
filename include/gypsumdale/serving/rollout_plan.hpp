#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/canary_judge.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <optional> // optional
#include <string_view> // string_view

namespace gypsumdale {

/// Bounds on what a version that turns out to be bad may get, over the whole fleet.
struct ExposureBounds
{
    /// Fraction of a service's requests between the order and its end.
    double m_share = 0.1;
    /// Requests beyond that.
    double m_slack = 50;
    /// Time after the fiftieth bad answer within which nothing more may be sent there.
    Duration m_rollbackDelay = std::chrono::seconds(5);
};

/// How far a roll-out has come.
enum class RolloutStage {
    /// No upstream of the new version serves yet, or the VM that decides has just begun to.
    Waiting,
    /// A few upstreams of the new version get a small part of the requests.
    Canary,
    /// All of them get a growing part.
    Ramp,
    /// They get all new requests, while what runs at the others ends.
    Handover,
    Succeeded,
    RolledBack,
};

inline constexpr NameTable<RolloutStage, 6> rolloutStageNames = {{
        {RolloutStage::Waiting, "waiting"},
        {RolloutStage::Canary, "canary"},
        {RolloutStage::Ramp, "ramp"},
        {RolloutStage::Handover, "handover"},
        {RolloutStage::Succeeded, "succeeded"},
        {RolloutStage::RolledBack, "rolled-back"},
}};

/// Why a roll-out went to its stage, for the log.
enum class RolloutReason {
    Begun,
    UpstreamsReady,
    Sound,
    AnswersBad,
    TooManyBadAnswers,
    TooLittleEvidence,
    TooFewUpstreams,
    NoUpstreams,
    OthersDone,
    TimeUsedUp,
    Operator,
};

inline constexpr NameTable<RolloutReason, 11> rolloutReasonNames = {{
        {RolloutReason::Begun, "begun"},
        {RolloutReason::UpstreamsReady, "upstreams-ready"},
        {RolloutReason::Sound, "sound"},
        {RolloutReason::AnswersBad, "answers-bad"},
        {RolloutReason::TooManyBadAnswers, "too-many-bad-answers"},
        {RolloutReason::TooLittleEvidence, "too-little-evidence"},
        {RolloutReason::TooFewUpstreams, "too-few-upstreams"},
        {RolloutReason::NoUpstreams, "no-upstreams"},
        {RolloutReason::OthersDone, "others-done"},
        {RolloutReason::TimeUsedUp, "time-used-up"},
        {RolloutReason::Operator, "operator"},
}};

/// What the VM that decides knows of a roll-out at a moment.
struct RolloutObservation
{
    TimePoint m_now{};
    CanaryVerdict m_verdict;
    /// Bad answers of the new version that the other versions' fraction doesn't explain, those
    /// known to earlier deciding VMs included.
    double m_excessBadAnswers = 0;
    /// Upstreams that serve, of the new version and of the others.
    std::size_t m_targets = 0;
    std::size_t m_others = 0;
    /// Requests under way at upstreams of the other versions.
    std::int64_t m_runningAtOthers = 0;
    /// Requests a second for the service over all VMs.
    double m_requestRate = 0;
    /// Answers of the new version that are known here, of earlier deciding VMs' time too.
    std::int64_t m_canaryAnswers = 0;
};

/// Decides how far one roll-out goes, at the VM that holds the duties. A version is accepted as
/// late as its time allows, as it may turn bad late; then requests are handed over step by step,
/// and the other versions' streams get time to end before they are stopped.
class RolloutPlan
{
public:
    /// `orderedAt` is when the order was first seen, `begunAt` when this VM began to decide on it.
    RolloutPlan(ExposureBounds bounds, Duration duration, TimePoint orderedAt, TimePoint begunAt);

    /// Moves on to the next stage if its time has come. Returns whether the stage has changed.
    /// Complexity: constant.
    bool advance(const RolloutObservation &seen);

    /// Rolls back by an operator's order.
    void rollBack();
    /// Stops and resumes the exposure, by an operator's order. The time goes on.
    void setPaused(bool isPaused) { m_isPaused = isPaused; }
    bool isPaused() const { return m_isPaused; }

    RolloutStage stage() const { return m_stage; }
    RolloutReason reason() const { return m_reason; }
    TimePoint stageSince() const { return m_stageSince; }
    TimePoint endsAt() const { return m_orderedAt + m_duration; }
    bool isDecided() const
    {
        return m_stage == RolloutStage::Succeeded || m_stage == RolloutStage::RolledBack;
    }

    /// Returns the fraction of requests that the new version gets now.
    double share(const RolloutObservation &seen) const;

    /// Returns whether VMs count answers though the new version gets no requests yet, so that the
    /// request rate and the control group are known when it gets the first ones.
    bool isMeasuring() const { return m_stage == RolloutStage::Waiting && !m_isPaused; }

    /// Returns how many upstreams of the new version share that part, so that each of them has the
    /// load of one of the others or more; 0 for all.
    std::size_t upstreamCount(const RolloutObservation &seen) const;

private:
    void enter(RolloutStage stage, RolloutReason reason, TimePoint now);
    std::optional<RolloutReason> reasonToRollBack(const RolloutObservation &seen) const;
    void advanceCanary(const RolloutObservation &seen);
    double canaryShare(const RolloutObservation &seen) const;
    double shareAfterTakeover(const RolloutObservation &seen, double allowed) const;
    TimePoint observedUntil() const;
    TimePoint latestRamp() const;
    Duration writeMargin() const;
    TimePoint handoverEnd() const { return endsAt() - writeMargin(); }

    ExposureBounds m_bounds;
    Duration m_duration;
    TimePoint m_orderedAt;
    TimePoint m_begunAt;
    RolloutStage m_stage = RolloutStage::Waiting;
    RolloutReason m_reason = RolloutReason::Begun;
    TimePoint m_stageSince{};
    bool m_isPaused = false;
};

} // namespace gypsumdale
