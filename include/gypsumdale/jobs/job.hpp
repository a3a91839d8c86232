#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/jobs/answer_text.hpp>
#include <gypsumdale/jobs/epoch_history.hpp>
#include <gypsumdale/jobs/job_id.hpp>

#include <jobs_types.h>

#include <cstddef> // size_t
#include <string> // string

namespace gypsumdale {

/// The state of a job at its owner.
enum class JobState {
    Offered, ///< Not yet held anywhere; an attempt may be running already.
    Held, ///< Accepted, waiting for its next attempt.
    Running,
    TakingOver, ///< The owner is dead; this node's takeover is not yet in the log.
    HandingOver, ///< Stopped; the successor has not answered yet.
    Withdrawn, ///< Refused; its offer is being removed.
    Provisional, ///< Complete here and at a peer; the log may still choose another answer.
    Finished,
    Failed,
    Expired,
};

inline constexpr NameTable<JobState, 10> jobStateNames{{
        {JobState::Offered, "offered"},
        {JobState::Held, "held"},
        {JobState::Running, "running"},
        {JobState::TakingOver, "taking-over"},
        {JobState::HandingOver, "handing-over"},
        {JobState::Withdrawn, "withdrawn"},
        {JobState::Provisional, "provisional"},
        {JobState::Finished, "finished"},
        {JobState::Failed, "failed"},
        {JobState::Expired, "expired"},
}};

/// Returns whether a job in this state has ended permanently, successfully or not.
constexpr bool isOver(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Expired;
}

/// Returns the state of a job of which only the phase is known.
JobState stateOfPhase(wire::JobPhase::type phase);

/// The request of a caller. The body is opaque here.
struct JobRequest
{
    MemberId m_member;
    ProfileId m_profile;
    ServiceId m_service;
    std::string m_body;
    WallMillis m_created = 0;
    WallMillis m_deadline = 0;
};

/// A job as its owner, its holders and the log keep it: the request, the owner and the answer so
/// far.
struct Job
{
    JobId m_id;
    JobRequest m_request;
    ProcessRef m_owner;
    EpochHistory m_epochs;
    AnswerText m_answer;
    wire::JobPhase::type m_phase = wire::JobPhase::Running;
    std::string m_finishReason;

    bool isOver() const { return m_phase != wire::JobPhase::Running; }

    /// Returns the approximate memory size of the job in bytes. Complexity: constant.
    std::size_t memory() const;

    friend bool operator==(const Job &, const Job &) = default;
};

bool operator==(const JobRequest &left, const JobRequest &right);

/// Converts a job for another node. Complexity: linear.
wire::JobSnapshot toWire(const Job &job);

/// Converts a job that another node sent. Fails with PeerMalformed if it contradicts itself.
/// Complexity: linear.
Result<Job> fromWire(const wire::JobSnapshot &snapshot);

wire::JobOwner toWire(const ProcessRef &process);
ProcessRef fromWire(const wire::JobOwner &owner);

/// Returns the job of a record, or an empty id for an unknown kind of record. Complexity: linear in
/// the length of the id.
JobId jobOf(const wire::JobRecord &record);

/// Returns an epoch greater than `previous`. The upper bits are a counter and the lower ones come
/// from `random`, so that two nodes that continue from the same point without the platform do not
/// share an epoch. Stays below 2^53, which JSON numbers represent exactly. Complexity: constant.
std::int64_t nextEpoch(std::int64_t previous, std::uint32_t random);

} // namespace gypsumdale
