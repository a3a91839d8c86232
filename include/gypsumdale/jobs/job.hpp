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

/// Where a job stands at its owner.
enum class JobState {
    Offered, ///< Not held anywhere yet; an attempt may run already.
    Held, ///< Accepted, waiting for its next attempt.
    Running,
    TakingOver, ///< Of a dead owner; this node's takeover is not in the log yet.
    HandingOver, ///< Stopped; its successor has not answered yet.
    Withdrawn, ///< Refused; its offer is being taken back.
    Provisional, ///< Whole here and at a peer; the log may still prefer another answer.
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

/// Tells whether a job in this state has ended for good, well or not.
constexpr bool isOver(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Expired;
}

/// The state of a job of which nothing but its phase is known.
JobState stateOfPhase(wire::JobPhase::type phase);

/// What a caller asked for. Bodies are opaque here.
struct JobRequest
{
    MemberId m_member;
    ProfileId m_profile;
    ServiceId m_service;
    std::string m_body;
    WallMillis m_created = 0;
    WallMillis m_deadline = 0;
};

/// A job as every holder keeps it: the request, who runs it, and the answer so far.
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

    /// Returns roughly the bytes that the job takes in memory. Constant.
    std::size_t memory() const;

    friend bool operator==(const Job &, const Job &) = default;
};

bool operator==(const JobRequest &left, const JobRequest &right);

/// Writes a job for another node. Linear.
wire::JobSnapshot toWire(const Job &job);

/// Reads a job that another node wrote. Fails with PeerMalformed on one that contradicts itself.
/// Linear.
Result<Job> fromWire(const wire::JobSnapshot &snapshot);

wire::JobOwner toWire(const ProcessRef &process);
ProcessRef fromWire(const wire::JobOwner &owner);

/// Returns the job that a record is about; empty for a record of no known kind. Linear in the name.
JobId jobOf(const wire::JobRecord &record);

/// Returns an epoch behind `previous`. The upper bits count, the lower ones come from `random`, so
/// that two nodes that go on from the same point without the platform do not share an epoch. Stays
/// below 2^53, which JSON numbers keep exactly. Constant.
std::int64_t nextEpoch(std::int64_t previous, std::uint32_t random);

} // namespace gypsumdale
