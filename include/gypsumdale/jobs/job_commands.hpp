#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/jobs/job.hpp>

#include <cstdint> // uint64_t
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Append this record to the log. The only acknowledgement is the record itself when it is applied.
/// A lost record is appended again after onAppendLost() or after the next outage.
struct AppendRecord
{
    JobLogId m_log;
    wire::JobRecord m_record;
};

/// Read this log from its start and keep following it: every record goes to onRecordApplied(), and
/// onLogCaughtUp() is called when the end was reached.
struct FollowLog
{
    JobLogId m_log;
};

/// Stop following this log.
struct UnfollowLog
{
    JobLogId m_log;
};

/// Send this hold request to the peer. Its answer goes to onHoldAnswered(), a failure to
/// onPeerFailed().
struct HoldAtPeer
{
    NodeId m_peer;
    wire::JobHold m_hold;
};

/// Ask the peer to remove its copy of a job. Best effort.
struct ReleaseAtPeer
{
    NodeId m_peer;
    wire::JobRelease m_release;
};

/// Answer the hold request of a peer.
struct AnswerHold
{
    NodeId m_peer;
    wire::JobHoldAnswer m_answer;
};

/// Hand a job over to the peer. Its answer goes to onHandOverAnswered().
struct HandOver
{
    NodeId m_peer;
    wire::JobHandOver m_handOver;
};

/// Answer the hand-over of a peer.
struct AnswerHandOver
{
    NodeId m_peer;
    wire::JobHandOverAnswer m_answer;
};

/// Send the request to an upstream, with the answer so far to resume from. Earlier attempts of the
/// job have ended. Every event of the attempt carries its number; its name on the wire is
/// attemptName().
struct StartAttempt
{
    JobId m_job;
    std::uint64_t m_attempt = 0;
    std::int64_t m_epoch = 0;
    JobRequest m_request;
    AnswerText m_soFar;
};

/// Close the connection of the attempt. Whatever still arrives from it is ignored.
struct CancelAttempt
{
    JobId m_job;
    std::uint64_t m_attempt = 0;
};

/// Inform the caller that its job is held and will finish.
struct ReportAccepted
{
    JobId m_job;
};

/// Inform the caller that its job is not held and will not continue.
struct ReportRefused
{
    JobId m_job;
    Error m_error;
};

/// Ask the callers of this job to reattach at their position, as another node continues it. If the
/// node is empty, any entry VM will do.
struct RequestReattach
{
    JobId m_job;
    NodeId m_node;
};

/// Inform the callers of this job that it ended, or that its answer is provisional while the
/// platform is unreachable. They read the answer with reattach().
struct ReportEnded
{
    JobId m_job;
    JobState m_state = JobState::Finished;
};

/// A provisional answer was reported to callers, and the log continued with the answer of another
/// owner.
struct ReportOverruled
{
    JobId m_job;
    NodeId m_owner;
};

using JobCommand =
        std::variant<AppendRecord, FollowLog, UnfollowLog, HoldAtPeer, ReleaseAtPeer, AnswerHold,
                     HandOver, AnswerHandOver, StartAttempt, CancelAttempt, ReportAccepted,
                     ReportRefused, RequestReattach, ReportEnded, ReportOverruled>;

using JobCommands = std::vector<JobCommand>;

/// Returns the name of an attempt on the wire (X-Attempt-Id). Unique over all attempts of all
/// nodes, as epoch and owner differ. Complexity: linear in the length of the job id.
std::string attemptName(const JobId &job, std::int64_t epoch, std::uint64_t attempt);

} // namespace gypsumdale
