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

/// A node that may hold jobs or take them over.
struct JobPeer
{
    ProcessRef m_process;
    DataCentreId m_dataCentre;
    bool m_leaving = false;
};

/// What a notice is about.
enum class ReclaimScope { OwnVm, OwnDataCentre };

/// Bounds and times of a JobTable.
struct JobTableSettings
{
    ProcessRef m_self;
    DataCentreId m_dataCentre;
    /// From the offer to the refusal, if the job is held nowhere until then.
    Duration m_acceptTimeout = std::chrono::seconds(2);
    /// From the offer until a peer is asked as well although the platform seems up.
    Duration m_peerFallbackDelay = std::chrono::milliseconds(500);
    /// From a message to a peer until it is sent again, or to another one.
    Duration m_peerTimeout = std::chrono::milliseconds(500);
    /// From a death until the successor takes over; a holder, whose copy may be newer, goes first.
    Duration m_successorDelay = std::chrono::milliseconds(500);
    /// From a failed attempt to the next one.
    Duration m_attemptBackoff = std::chrono::milliseconds(200);
    Duration m_retention = std::chrono::minutes(30);
    std::size_t m_maximumFinished = 10'000;
    std::size_t m_maximumFinishedBytes = std::size_t{32} * 1024 * 1024;
    /// Unfinished jobs that a node takes as owner and as holder; further ones are refused.
    std::size_t m_maximumJobs = 4'000;
    /// From the creation to the latest deadline. Records older than this and the retention together
    /// are of no use: the log may be trimmed before them.
    Duration m_maximumJobAge = std::chrono::hours(6);
    /// From an append until what the log still lacks is appended again.
    Duration m_appendTimeout = std::chrono::seconds(10);
    /// From when a process that a log names was first seen not to be among the peers, until it
    /// counts as dead.
    Duration m_orphanDelay = std::chrono::seconds(10);
    /// From the last use of another process's log until it is no longer read.
    Duration m_logIdleTimeout = std::chrono::seconds(60);
    /// From the platform's return, and from the death of the process that took the job, until a job
    /// that is not in its log counts as unknown: its holder may have to append it first.
    Duration m_unknownJobDelay = std::chrono::seconds(10);
    CheckpointPolicy m_checkpoints = EveryInterval{std::chrono::seconds(5)};
    std::uint64_t m_seed = 0;
};

/// The answer from an offset on, out of this node's memory. While the job runs, its next tokens
/// follow as they come. A token at offset n is labelled with the epoch that m_epochs.epochAt(n)
/// names.
struct ServeFrom
{
    AnswerPosition m_position;
    AnswerText m_tokens;
    EpochHistory m_epochs;
    JobState m_state = JobState::Running;
    std::string m_finishReason;
};

/// The caller first drops what it has behind the position (all of it at offset 0), then asks again
/// from there.
struct DiscardTokens
{
    AnswerPosition m_position;
};

/// Another node owns the job: ask there.
struct RedirectToNode
{
    NodeId m_node;
};

/// This node has begun to read the job's log: ask again after onLogCaughtUp().
struct AwaitLog
{
    JobLogId m_log;
};

using ReattachAnswer = std::variant<ServeFrom, DiscardTokens, RedirectToNode, AwaitLog, Error>;

/// One line of the operators' list of jobs.
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
    /// Provisional answers that callers were shown and the log did not take.
    std::uint64_t m_overruled = 0;
    std::uint64_t m_takenOver = 0;
    std::uint64_t m_handedOver = 0;
    std::uint64_t m_resumed = 0;
    /// Tokens that this node generated for jobs which another had taken over.
    std::uint64_t m_tokensLost = 0;
    std::uint64_t m_checkpointRecords = 0;
    std::uint64_t m_checkpointBytes = 0;
    std::uint64_t m_lateEvents = 0;
};

/// All durable jobs that one node owns, and those that it holds for peers. Plain and
/// single-threaded: each call may leave commands, which takeCommands() hands out in order.
///
/// Who owns a job is decided by the job's log alone, one takeover record against another by the
/// epoch that it replaces; while the platform is out, by the explicit word of the owner to its
/// successor. A suspicion alone never makes a second owner.
class JobTable
{
public:
    explicit JobTable(JobTableSettings settings);

    /// Takes a new job and starts its first attempt at once; whether it is accepted is told later
    /// by ReportAccepted or ReportRefused. Fails with Draining after a notice and with JobNotHeld
    /// at once if the table is full or if neither the platform nor a peer in another data centre is
    /// there.
    Result<JobId> offer(const JobRequest &request, TimePoint now);

    /// The platform answers again, or has gone. Starts as gone.
    void onPlatformChanged(bool up, TimePoint now);

    /// The next record of a followed log; own records come back this way too.
    void onRecordApplied(const JobLogId &log, const wire::JobRecord &record, TimePoint now);

    /// All records that the log had when reading began were applied.
    void onLogCaughtUp(const JobLogId &log, TimePoint now);

    /// Records appended to this log may never be applied: what the log lacks is appended again.
    void onAppendLost(const JobLogId &log, TimePoint now);

    /// The live peers, without this node, as membership sees them now. A process that is no longer
    /// among them is not thereby dead.
    void onPeers(std::vector<JobPeer> peers, TimePoint now);

    /// A process is dead: its VM is gone, or membership has given it up for good.
    void onPeerDead(const ProcessRef &process, TimePoint now);

    /// The names of all logs in the platform, read now and then: logs of dead processes are taken
    /// care of by the node that rendezvous hashing prefers.
    void onLogsListed(const std::vector<JobLogId> &logs, TimePoint now);

    // As owner, towards holders and successors.
    void onHoldAnswered(const NodeId &peer, const wire::JobHoldAnswer &answer, TimePoint now);
    void onHandOverAnswered(const NodeId &peer, const wire::JobHandOverAnswer &answer,
                            TimePoint now);
    /// A message to this peer could not be sent.
    void onPeerFailed(const NodeId &peer, TimePoint now);

    // As holder and successor, from owners.
    void onHoldRequest(const NodeId &peer, const wire::JobHold &hold, TimePoint now);
    void onReleaseRequest(const NodeId &peer, const wire::JobRelease &release, TimePoint now);
    void onHandOverRequest(const NodeId &peer, const wire::JobHandOver &handOver, TimePoint now);

    // From the attempt that runs. Events of an earlier attempt are counted and change nothing.
    /// Takes tokens behind those had before; `firstToken` is the offset of the first one.
    void onTokens(const JobId &job, std::uint64_t attempt, std::int64_t firstToken,
                  const AnswerText &tokens, TimePoint now);
    /// The answer is whole: finish reason and end marker were there.
    void onAttemptFinished(const JobId &job, std::uint64_t attempt, std::int64_t wholeTokens,
                           const std::string &finishReason, TimePoint now);
    /// The attempt ended before the answer was whole. A permanent failure ends the job.
    void onAttemptFailed(const JobId &job, std::uint64_t attempt, bool isPermanent, TimePoint now);
    /// The upstream that runs the attempt is leaving: the job goes on with a new attempt elsewhere.
    void onUpstreamLeaving(const JobId &job, std::uint64_t attempt, TimePoint now);

    /// This VM or its data centre is to be reclaimed: no new jobs, and every job is handed to a
    /// peer, outside the data centre if that goes as a whole.
    void onReclaimNotice(ReclaimScope scope, TimePoint now);

    /// Moves all timers. To be called at least every 100 ms; `wallNow` judges deadlines.
    void tick(TimePoint now, WallMillis wallNow);

    /// Tells how a caller at a position goes on. A job of another member gives JobUnknown, as one
    /// that does not exist. Linear in the tokens handed out.
    ReattachAnswer reattach(const JobId &job, const MemberId &member,
                            const AnswerPosition &position, TimePoint now);

    /// Sets how long finished answers are kept; memory and count bound them as well.
    void setRetention(Duration retention) { m_settings.m_retention = retention; }

    /// Returns the commands since the last call, in order.
    JobCommands takeCommands();

    /// Tells whether no job needs this process as its owner any more: all are over and in the
    /// platform, or with another owner. Constant.
    bool isDrained() const;

    /// Lists the jobs that this node owns, and the finished ones of its own log. Linear.
    std::vector<JobSummary> summaries() const;
    /// Returns the jobs that this node owns, finished ones that it still keeps counted. Constant.
    std::size_t ownedCount() const { return m_owned.size(); }

    /// Tells how many jobs this node keeps copies of for peers. Constant.
    std::size_t heldCopyCount() const { return m_copyOwners.size(); }

    const JobTableCounters &counters() const { return m_counters; }

private:
    enum class Mode { Normal, TakingOver, HandingOver, Withdrawn };

    /// How far a place outside this process has a job, counting what is on its way there.
    struct Replica
    {
        std::int64_t m_epoch = 0;
        std::int64_t m_tokens = 0;
        bool m_isOver = false;
        bool m_isRemoved = false;
        bool m_isTakenOver = false;
        /// The epoch of this node's offer until the log is known to have taken it; otherwise 0.
        std::int64_t m_offeredEpoch = 0;
        TimePoint m_changedAt{};
    };

    /// The peer that holds a copy for this node.
    struct Holder
    {
        NodeId m_node;
        bool m_isHeld = false;
        bool m_isAsked = false;
        std::int64_t m_tokens = 0;
        bool m_isOver = false;
        TimePoint m_askedAt{};
    };

    /// The peer that a job is being handed to.
    struct Successor
    {
        NodeId m_node;
        int m_sent = 0;
        TimePoint m_sentAt{};
    };

    /// A job that this process owns, or is about to.
    struct OwnedJob
    {
        Job m_job;
        Mode m_mode = Mode::Normal;
        bool m_isAccepted = false;
        bool m_isToldOver = false;
        bool m_isToldProvisional = false;
        TimePoint m_offeredAt;
        std::uint64_t m_attempt = 0;
        TimePoint m_nextAttemptAt;
        /// Tokens that a checkpoint is to cover.
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
        /// When the last reading that reached the end was asked for, and the one under way.
        TimePoint m_readFrom{};
        std::optional<TimePoint> m_readAskedAt;
        TimePoint m_usedAt;
        /// When the process that began the log was last seen alive, or following began.
        TimePoint m_originSeenAt;
        std::optional<TimePoint> m_takeOverAt;
    };

    struct FinishedJob
    {
        JobId m_job;
        std::int64_t m_epoch = 0;
        std::size_t m_bytes = 0;
        TimePoint m_at;
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

    // Life of a job: job_table.cpp
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
    void tellOver(OwnedJob &owned);
    void tellByHolder(OwnedJob &owned);
    void overrule(const OwnedJob &owned, const Job &logged);
    void service(const JobId &job, TimePoint now);
    void tickJob(const JobId &job, TimePoint now, WallMillis wallNow);
    void checkpoint(TimePoint now);
    void removeFinished(TimePoint now);

    // The log: job_table_log.cpp
    FollowedLog &follow(const JobLogId &log, TimePoint now);
    /// Asks for a reading of the log up to its end, unless one is under way.
    void readAnew(const JobLogId &log, FollowedLog &followed, TimePoint now);
    FollowedLog *writableLog(const JobLogId &log, TimePoint now);
    bool reconcile(const JobId &job, FollowedLog &log, TimePoint now);
    bool reconcileEpoch(OwnedJob &owned, const Job &logged, TimePoint now);
    void adoptLogged(OwnedJob &owned, const Job &logged, TimePoint now);
    void fence(OwnedJob &owned, const Job &logged);
    void settle(OwnedJob &owned, const Job &logged, TimePoint now);
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
    bool isGone(const ProcessRef &process, TimePoint now);
    void takeOverLog(const JobLogId &log, FollowedLog &followed, TimePoint now);
    void takeOver(const Job &job, TimePoint now);
    void takeOverCopies(TimePoint now);
    void tickLogs(TimePoint now);

    // Holders and successors: job_table_peers.cpp
    const JobPeer *findPeer(const NodeId &node) const;
    NodeId chooseHolder(const OwnedJob &owned) const;
    NodeId chooseSuccessor(const OwnedJob &owned) const;
    bool wantsHolder(const OwnedJob &owned, TimePoint now) const;
    void syncToHolder(OwnedJob &owned, TimePoint now);
    void sendToHolder(OwnedJob &owned, const wire::JobRecord &record, TimePoint now);
    void failHolder(OwnedJob &owned);
    ReleaseAtPeer releaseOf(const NodeId &holder, const JobId &job) const;
    void releaseCopies(OwnedJob &owned, const NodeId &except);
    void beginHandOver(OwnedJob &owned, TimePoint now);
    void driveHandOver(OwnedJob &owned, TimePoint now);
    void adopt(Job job, TimePoint now);
    void transferCopies();
    void forgetCopy(const JobId &job);
    bool replacesCopy(const wire::JobSnapshot &snapshot) const;
    bool hasMovedOn(const wire::JobSnapshot &snapshot) const;

    // Reading: job_table_read.cpp
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
