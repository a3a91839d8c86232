#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/checkpoint_policy.hpp>
#include <gypsumdale/jobs/job_commands.hpp>
#include <gypsumdale/jobs/job_log_state.hpp>

#include <pcg_random.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <utility> // move
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// A node that can hold copies of jobs or take jobs over.
struct JobPeer
{
    ProcessRef m_process;
    DataCentreId m_dataCentre;
    bool m_leaving = false;
};

/// The scope of a reclaim notice.
enum class ReclaimScope { OwnVm, OwnDataCentre };

/// Limits and times of a JobTable.
struct JobTableSettings
{
    ProcessRef m_self;
    DataCentreId m_dataCentre;
    /// From the offer until the job is refused because it is not held anywhere.
    Duration m_acceptTimeout = std::chrono::seconds(2);
    /// From the offer until a peer is asked in addition to a platform that seems to be reachable.
    Duration m_peerFallbackDelay = std::chrono::milliseconds(500);
    /// From a message to a peer until it is sent again or to another peer.
    Duration m_peerTimeout = std::chrono::milliseconds(500);
    /// From the death of an owner until the successor takes over. A holder, whose copy may be
    /// newer, takes over without this delay.
    Duration m_successorDelay = std::chrono::milliseconds(500);
    /// From a failed attempt to the next one.
    Duration m_attemptBackoff = std::chrono::milliseconds(200);
    Duration m_retention = std::chrono::minutes(30);
    std::size_t m_maximumFinished = 10'000;
    std::size_t m_maximumFinishedBytes = std::size_t{32} * 1024 * 1024;
    /// Maximum number of unfinished jobs as owner, and of copies as holder; further ones are
    /// refused.
    std::size_t m_maximumJobs = 4'000;
    /// From the creation to the latest deadline. Records older than this plus the retention are not
    /// needed, so that the log may be trimmed before them.
    Duration m_maximumJobAge = std::chrono::hours(6);
    /// From an append until records that are still missing in the log are appended again.
    Duration m_appendTimeout = std::chrono::seconds(10);
    /// From when a process that a log names was first found missing among the peers until it counts
    /// as dead.
    Duration m_orphanDelay = std::chrono::seconds(10);
    /// From the last use of another process's log until it is no longer followed.
    Duration m_logIdleTimeout = std::chrono::seconds(60);
    /// From the return of the platform, and from the death of the process that accepted the job,
    /// until a job that is not in its log counts as unknown: its holder may still have to append
    /// it.
    Duration m_unknownJobDelay = std::chrono::seconds(10);
    CheckpointPolicy m_checkpoints = EveryInterval{std::chrono::seconds(5)};
    std::uint64_t m_seed = 0;
};

/// The answer from an offset on, from this node's memory. While the job runs, further tokens follow
/// as they arrive. The token at offset n belongs to the epoch m_epochs.epochAt(n).
struct ServeFrom
{
    AnswerPosition m_position;
    AnswerText m_tokens;
    EpochHistory m_epochs;
    JobState m_state = JobState::Running;
    std::string m_finishReason;
};

/// The caller first discards its tokens after the position (all of them at offset 0), then asks
/// again from there.
struct DiscardTokens
{
    AnswerPosition m_position;
};

/// Another node owns the job; the caller asks that node.
struct RedirectToNode
{
    NodeId m_node;
};

/// This node has started to read the job's log; the caller asks again after onLogCaughtUp().
struct AwaitLog
{
    JobLogId m_log;
};

using ReattachAnswer = std::variant<ServeFrom, DiscardTokens, RedirectToNode, AwaitLog, Error>;

/// One entry of the list of jobs for operators.
struct JobSummary
{
    JobId m_job;
    MemberId m_member;
    ProfileId m_profile;
    JobState m_state = JobState::Offered;
    NodeId m_owner;
    std::int64_t m_epoch = 0;
    std::int64_t m_tokens = 0;
    bool m_held = false;
};

struct JobTableCounters
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_expired = 0;
    std::uint64_t m_fenced = 0;
    /// Provisional answers that were reported to callers and then overruled by the log.
    std::uint64_t m_overruled = 0;
    std::uint64_t m_takenOver = 0;
    std::uint64_t m_handedOver = 0;
    std::uint64_t m_resumed = 0;
    /// Tokens that this node generated for jobs that another node had taken over.
    std::uint64_t m_tokensLost = 0;
    std::uint64_t m_checkpointRecords = 0;
    std::uint64_t m_checkpointBytes = 0;
    std::uint64_t m_lateEvents = 0;
};

/// The durable jobs that one node owns, and the copies that it holds for peers. Single-threaded and
/// without I/O: calls queue commands, which takeCommands() returns in order.
///
/// The job's log alone decides who owns a job: of several takeover records, the first one that
/// names the current epoch takes effect. While the platform is unreachable, ownership passes only
/// by an explicit hand-over from the owner to its successor. A mere suspicion that the owner is
/// dead never creates a second owner.
class JobTable
{
public:
    explicit JobTable(JobTableSettings settings);

    /// Adds a new job and starts its first attempt at once. ReportAccepted or ReportRefused reports
    /// later whether it is accepted. Fails with Draining after a reclaim notice, and with
    /// JobNotHeld if the table is full or if neither the platform nor a peer in another data centre
    /// is reachable.
    Result<JobId> offer(const JobRequest &request, TimePoint now);

    /// Records that the platform became reachable or unreachable. Initially it is unreachable.
    void onPlatformChanged(bool up, TimePoint now);

    /// Applies the next record of a followed log. Records of this node arrive here too.
    void onRecordApplied(const JobLogId &log, const wire::JobRecord &record, TimePoint now);

    /// Records that all records were applied that the log had when the read began.
    void onLogCaughtUp(const JobLogId &log, TimePoint now);

    /// Records that appended records may never be applied; what is missing in the log is appended
    /// again.
    void onAppendLost(const JobLogId &log, TimePoint now);

    /// Sets the live peers, without this node, as membership sees them now. A process that is
    /// missing here is not necessarily dead.
    void onPeers(std::vector<JobPeer> peers, TimePoint now);

    /// Records that a process is dead: its VM is gone, or membership removed it permanently.
    void onPeerDead(const ProcessRef &process, TimePoint now);

    /// Handles the list of all logs in the platform, which is read from time to time. The logs of
    /// dead processes are assigned to live nodes by rendezvous hashing.
    void onLogsListed(const std::vector<JobLogId> &logs, TimePoint now);

    // Answers of holders and successors to this node as owner.
    void onHoldAnswered(const NodeId &peer, const wire::JobHoldAnswer &answer, TimePoint now);
    void onHandOverAnswered(const NodeId &peer, const wire::JobHandOverAnswer &answer,
                            TimePoint now);
    /// Records that a message to this peer could not be sent.
    void onPeerFailed(const NodeId &peer, TimePoint now);

    // Requests of owners to this node as holder or successor.
    void onHoldRequest(const NodeId &peer, const wire::JobHold &hold, TimePoint now);
    void onReleaseRequest(const NodeId &peer, const wire::JobRelease &release, TimePoint now);
    void onHandOverRequest(const NodeId &peer, const wire::JobHandOver &handOver, TimePoint now);

    // Events of the running attempt. Events of earlier attempts are counted and ignored.
    /// Appends the tokens that are new; `firstToken` is the offset of the first token passed.
    void onTokens(const JobId &job, std::uint64_t attempt, std::int64_t firstToken,
                  const AnswerText &tokens, TimePoint now);
    /// Records that the answer is complete: finish reason and end marker arrived.
    void onAttemptFinished(const JobId &job, std::uint64_t attempt, std::int64_t wholeTokens,
                           const std::string &finishReason, TimePoint now);
    /// Records that the attempt ended before the answer was complete. A permanent failure ends the
    /// job.
    void onAttemptFailed(const JobId &job, std::uint64_t attempt, bool isPermanent, TimePoint now);
    /// Records that the upstream of the attempt is leaving. The job continues with a new attempt
    /// elsewhere.
    void onUpstreamLeaving(const JobId &job, std::uint64_t attempt, TimePoint now);

    /// Records that this VM or its data centre will be reclaimed. New jobs are refused and every
    /// job is handed over to a peer, outside the data centre if all of it is reclaimed.
    void onReclaimNotice(ReclaimScope scope, TimePoint now);

    /// Runs all timers; to be called at least every 100 ms. Deadlines are compared with `wallNow`.
    void tick(TimePoint now, WallMillis wallNow);

    /// Returns how a caller at a position continues. A job of another member gives JobUnknown, like
    /// a job that does not exist. Complexity: linear in the number of returned tokens.
    ReattachAnswer reattach(const JobId &job, const MemberId &member,
                            const AnswerPosition &position, TimePoint now);

    /// Sets how long finished answers are kept; memory and count limit them as well.
    void setRetention(Duration retention) { m_settings.m_retention = retention; }

    /// Returns the commands queued since the last call, in order.
    JobCommands takeCommands();

    /// Returns whether no job needs this process as its owner any more: each has ended and is in
    /// the platform, or has another owner. Complexity: constant.
    bool isDrained() const;

    /// Lists the jobs that this node owns, and the finished jobs of its own log. Complexity:
    /// linear.
    std::vector<JobSummary> summaries() const;
    /// Returns the number of jobs that this node owns, including ended ones that are not in the log
    /// yet. Complexity: constant.
    std::size_t ownedCount() const { return m_owned.size(); }

    /// Returns the number of jobs of which this node holds copies for peers. Complexity: constant.
    std::size_t heldCopyCount() const { return m_copyOwners.size(); }

    const JobTableCounters &counters() const { return m_counters; }

private:
    enum class Mode { Normal, TakingOver, HandingOver, Withdrawn };

    /// Progress of a job at another place, such as the log, including what is still on its way
    /// there.
    struct Replica
    {
        std::int64_t m_epoch = 0;
        std::int64_t m_tokens = 0;
        bool m_isOver = false;
        bool m_isRemoved = false;
        bool m_isTakenOver = false;
        /// The epoch of this node's offer until the log is known to contain it; otherwise 0.
        std::int64_t m_offeredEpoch = 0;
        TimePoint m_changedAt{};
    };

    /// The peer that holds a copy for this node.
    struct Holder
    {
        NodeId m_node;
        bool m_isHeld = false;
        bool m_isRequestPending = false;
        std::int64_t m_tokens = 0;
        bool m_isOver = false;
        TimePoint m_requestedAt{};
    };

    /// The peer that a job is being handed over to.
    struct Successor
    {
        NodeId m_node;
        int m_sent = 0;
        TimePoint m_sentAt{};
    };

    /// A job that this process owns or is taking over.
    struct OwnedJob
    {
        Job m_job;
        Mode m_mode = Mode::Normal;
        bool m_isAccepted = false;
        bool m_isEndReported = false;
        bool m_isProvisionalReported = false;
        TimePoint m_offeredAt;
        std::uint64_t m_attempt = 0;
        TimePoint m_nextAttemptAt;
        /// Number of tokens that the next checkpoint covers.
        std::int64_t m_checkpointTo = 0;
        std::optional<Replica> m_appended;
        std::int64_t m_takeoverEpoch = 0;
        std::optional<Holder> m_holder;
        std::set<NodeId> m_holdersTried;
        std::set<NodeId> m_copies;
        std::optional<Successor> m_successor;
        std::set<NodeId> m_successorsTried;
    };

    struct FollowedLog
    {
        JobLogState m_state;
        bool m_isCaughtUp = false;
        /// Start of the last read that reached the end, and of the read in progress.
        TimePoint m_readStartedAt{};
        std::optional<TimePoint> m_readRequestedAt;
        TimePoint m_lastUsedAt;
        /// When the process that created the log was last seen alive, or following began.
        TimePoint m_originSeenAt;
        std::optional<TimePoint> m_takeOverAt;
    };

    struct FinishedJob
    {
        JobId m_job;
        std::int64_t m_epoch = 0;
        std::size_t m_bytes = 0;
        TimePoint m_finishedAt;
    };

    struct HandedJob
    {
        NodeId m_node;
        MemberId m_member;
    };

    using OwnedJobs = std::map<JobId, OwnedJob>;

    template <typename Command>
    void emit(Command command)
    {
        m_commands.emplace_back(std::move(command));
    }

    // Lifecycle of a job: job_table.cpp
    JobState stateOf(const OwnedJob &owned) const;
    std::vector<JobId> ownedIds() const;
    OwnedJob *findOwned(const JobId &job);
    OwnedJob *findAttempt(const JobId &job, std::uint64_t attempt);
    void startAttempt(OwnedJob &owned, TimePoint now);
    void cancelAttempt(OwnedJob &owned);
    void finish(OwnedJob &owned, wire::JobPhase::type phase, const std::string &reason,
                TimePoint now);
    void accept(OwnedJob &owned);
    void refuse(OwnedJob &owned, Error error, TimePoint now);
    void reportEnded(OwnedJob &owned);
    void reportEndedByHolder(OwnedJob &owned);
    void reportOverruled(const OwnedJob &owned, const Job &logged);
    void advanceJob(const JobId &job, TimePoint now);
    void tickJob(const JobId &job, TimePoint now, WallMillis wallNow);
    void checkpoint(TimePoint now);
    void removeFinished(TimePoint now);

    // The log: job_table_log.cpp
    FollowedLog &follow(const JobLogId &log, TimePoint now);
    /// Requests a read of the log up to its end, unless one is in progress.
    void requestRead(const JobLogId &log, FollowedLog &followed, TimePoint now);
    FollowedLog *writableLog(const JobLogId &log, TimePoint now);
    bool reconcile(const JobId &job, FollowedLog &log, TimePoint now);
    bool reconcileEpoch(OwnedJob &owned, const Job &logged, TimePoint now);
    void adoptLogged(OwnedJob &owned, const Job &logged, TimePoint now);
    void fence(OwnedJob &owned, const Job &logged);
    void updateFromLog(OwnedJob &owned, const Job &logged, TimePoint now);
    void appendMissing(OwnedJob &owned, const FollowedLog &log, TimePoint now);
    void checkOffer(OwnedJob &owned, const Job &logged);
    void appendOffer(OwnedJob &owned);
    void appendEarlierEpochs(OwnedJob &owned);
    void appendProgress(OwnedJob &owned, std::int64_t tokens);
    void appendFinish(OwnedJob &owned);
    void appendTakeover(OwnedJob &owned);
    void appendRecord(OwnedJob &owned, const wire::JobRecord &record);
    wire::JobProgress progressOf(const Job &job, std::int64_t epoch, std::int64_t from,
                                 std::int64_t to) const;

    // Takeovers of dead owners: job_table_takeover.cpp
    bool isCaretaker(const JobLogId &log) const;
    bool isLive(const ProcessRef &process) const;
    bool detectDeath(const ProcessRef &process, TimePoint now);
    void takeOverLog(const JobLogId &log, FollowedLog &followed, TimePoint now);
    void takeOver(const Job &job, TimePoint now);
    void takeOverCopies(TimePoint now);
    void tickLogs(TimePoint now);

    // Holders and successors: job_table_peers.cpp
    const JobPeer *findPeer(const NodeId &node) const;
    NodeId chooseHolder(const OwnedJob &owned) const;
    NodeId chooseSuccessor(const OwnedJob &owned) const;
    bool needsHolder(const OwnedJob &owned, TimePoint now) const;
    void syncToHolder(OwnedJob &owned, TimePoint now);
    void sendToHolder(OwnedJob &owned, const wire::JobRecord &record, TimePoint now);
    void dropHolder(OwnedJob &owned);
    ReleaseAtPeer makeRelease(const NodeId &holder, const JobId &job) const;
    void releaseCopies(OwnedJob &owned, const NodeId &except);
    void beginHandOver(OwnedJob &owned, TimePoint now);
    void advanceHandOver(OwnedJob &owned, TimePoint now);
    void adoptHandedOver(Job job, TimePoint now);
    void transferCopies();
    void removeCopy(const JobId &job);
    bool replacesCopy(const wire::JobSnapshot &snapshot) const;
    bool isSuperseded(const wire::JobSnapshot &snapshot) const;

    // Reads: job_table_read.cpp
    ReattachAnswer serve(const Job &job, JobState state, const AnswerPosition &position) const;
    ReattachAnswer reattachLogged(const JobId &job, const MemberId &member,
                                  const AnswerPosition &position, TimePoint now);

    JobTableSettings m_settings;
    JobLogId m_ownLog;
    pcg32 m_random;
    JobCommands m_commands;
    JobTableCounters m_counters;
    bool m_platformUp = false;
    TimePoint m_platformUpSince;
    std::optional<ReclaimScope> m_notice;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_nextAttempt = 1;
    std::vector<JobPeer> m_peers;
    std::map<ProcessRef, TimePoint> m_dead;
    OwnedJobs m_owned;
    std::map<JobId, HandedJob> m_handedTo;
    JobLogState m_copies;
    std::map<JobId, ProcessRef> m_copyOwners;
    std::map<JobLogId, FollowedLog> m_logs;
    std::map<ProcessRef, TimePoint> m_missingSince;
    std::deque<FinishedJob> m_finished;
    std::size_t m_finishedBytes = 0;
    TimePoint m_lastCheckpoint;
    std::int64_t m_tokensSinceCheckpoint = 0;
};

} // namespace gypsumdale
