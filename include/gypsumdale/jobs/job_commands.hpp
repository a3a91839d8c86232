#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/jobs/job.hpp>

#include <cstdint> // uint64_t
#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Append this record to the log. Nothing needs to come back but the record itself, when it is
/// applied; a lost one is made good after onAppendLost() or the next outage.
struct AppendRecord
{
    JobLogId m_log;
    wire::JobRecord m_record;
};

/// Read this log from its start and go on reading it: every record goes to onRecordApplied(), and
/// onLogCaughtUp() follows once its end was reached.
struct FollowLog
{
    JobLogId m_log;
};

/// Stop reading this log.
struct UnfollowLog
{
    JobLogId m_log;
};

/// Send this to the peer; its answer goes to onHoldAnswered(), a failure to onPeerFailed().
struct HoldAtPeer
{
    NodeId m_peer;
    wire::JobHold m_hold;
};

/// Tell the peer to drop its copy. Best effort.
struct ReleaseAtPeer
{
    NodeId m_peer;
    wire::JobRelease m_release;
};

/// Answer a peer's hold request.
struct AnswerHold
{
    NodeId m_peer;
    wire::JobHoldAnswer m_answer;
};

/// Send this to the peer; its answer goes to onHandOverAnswered().
struct HandOver
{
    NodeId m_peer;
    wire::JobHandOver m_handOver;
};

/// Answer a peer's hand-over.
struct AnswerHandOver
{
    NodeId m_peer;
    wire::JobHandOverAnswer m_answer;
};

/// Send the request to an upstream, with the answer so far to resume from. The job's earlier
/// attempts are over. The attempt's number goes into every event about it; its name on the wire is
/// attemptName().
struct StartAttempt
{
    JobId m_job;
    std::uint64_t m_attempt = 0;
    std::int64_t m_epoch = 0;
    JobRequest m_request;
    AnswerText m_soFar;
};

/// Close the attempt's connection; nothing that still comes from it counts.
struct CancelAttempt
{
    JobId m_job;
    std::uint64_t m_attempt = 0;
};

/// Tell the caller that its job is held and will finish.
struct ReportAccepted
{
    JobId m_job;
};

/// Tell the caller that its job is not held; it will not go on.
struct ReportRefused
{
    JobId m_job;
    Error m_error;
};

/// Tell the callers of this job, whose next events come from another node, to reattach at their
/// position. The node may be empty: then any entry VM will do.
struct RequestReattach
{
    JobId m_job;
    NodeId m_node;
};

/// Tell the callers of this job that it is over, or that its answer is provisional and the platform
/// out of reach. Answers are read with reattach().
struct ReportEnded
{
    JobId m_job;
    JobState m_state = JobState::Finished;
};

/// A provisional answer was shown, and the log went on with another owner's.
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

/// Returns the attempt's name on the wire (X-Attempt-Id). Unique over all attempts of all nodes, as
/// epoch and owner differ. Linear in the job's name.
std::string attemptName(const JobId &job, std::int64_t epoch, std::uint64_t attempt);

} // namespace gypsumdale
