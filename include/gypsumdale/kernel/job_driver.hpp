#pragma once

#include <gypsumdale/jobs/job_table.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/kernel/job_feeds.hpp>
#include <gypsumdale/kernel/job_logs.hpp>
#include <gypsumdale/kernel/job_messenger.hpp>

#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string
#include <utility> // pair

namespace gypsumdale {

/// Functions that run attempts of jobs on the traffic loops. Both return at once.
struct AttemptCallbacks
{
    std::function<void(const StartAttempt &)> m_start;
    std::function<void(const CancelAttempt &)> m_cancel;
};

/// Drives the JobTable: executes its commands with its logs in the platform (JobLogs), messages to
/// peers (JobMessenger), attempts, and the callers' feeds (JobFeeds). Used on the control loop
/// only.
class JobDriver
{
public:
    JobDriver(ControlContext &context, FleetDriver &fleet, AttemptCallbacks runAttempt);

    /// Starts all its tasks. Must be called in a fiber of the control loop.
    void start();

    /// Offers a job and subscribes its caller. Fails like JobTable::offer.
    Result<std::pair<JobId, std::shared_ptr<JobFeed>>> offer(const JobRequest &request);

    /// Reattaches a caller at a position. Waits for at most a few seconds if a log has to be read.
    /// The answer ServeFrom of an unfinished job comes with a feed of its further events.
    std::pair<ReattachAnswer, std::shared_ptr<JobFeed>>
    reattach(const JobId &job, const MemberId &member, const AnswerPosition &position);

    /// Asks the other nodes which of them has a job that this node doesn't know.
    std::optional<wire::JobLocated> locate(const JobId &job, const std::optional<NodeId> &first)
    {
        return m_messenger.locate(job, first);
    }
    wire::JobLocated onLocate(const wire::JobLocate &ask) const;

    // Called by the attempts on the traffic loops, through spawn().
    void onTokens(const JobId &job, std::uint64_t attempt, std::int64_t epoch,
                  std::int64_t firstToken, const AnswerText &tokens);
    void onAttemptFinished(const JobId &job, std::uint64_t attempt, std::int64_t wholeTokens,
                           const std::string &finishReason);
    void onAttemptFailed(const JobId &job, std::uint64_t attempt, bool isPermanent);
    void onAttemptPlaced(const JobId &job, std::uint64_t attempt, const UpstreamId &upstream);

    void onUpstreamLeaving(const UpstreamId &upstream);
    void onNodesChanged();
    void onNodeDead(const NodeStateChanged &change);
    void onReclaimNotice(ReclaimScope scope);

    wire::JobHoldAnswer onHold(const NodeId &sender, const wire::JobHold &hold);
    void onRelease(const NodeId &sender, const wire::JobRelease &release);
    wire::JobHandOverAnswer onHandOver(const NodeId &sender, const wire::JobHandOver &handOver);
    void onHoldAnswer(const NodeId &sender, const wire::JobHoldAnswer &answer);
    void onHandOverAnswer(const NodeId &sender, const wire::JobHandOverAnswer &answer);

    /// Sets the retention of finished answers.
    void setRetention(Duration retention)
    {
        m_retention = retention;
        m_table.setRetention(retention);
    }

    const JobTable &table() const { return m_table; }
    /// Returns the number of unfinished jobs that this node owns.
    std::size_t unfinishedJobs() const;

private:
    struct Running
    {
        std::uint64_t m_attempt = 0;
        UpstreamId m_upstream;
    };

    void run();
    void execute(const AppendRecord &command);
    void execute(const FollowLog &command);
    void execute(const UnfollowLog &command);
    void execute(const HoldAtPeer &command);
    void execute(const ReleaseAtPeer &command);
    void execute(const AnswerHold &command);
    void execute(const HandOver &command);
    void execute(const AnswerHandOver &command);
    void execute(const StartAttempt &command);
    void execute(const CancelAttempt &command);
    void execute(const ReportAccepted &command);
    void execute(const ReportRefused &command);
    void execute(const RequestReattach &command);
    void execute(const ReportEnded &command);
    void execute(const ReportOverruled &command);
    /// Sends a message that requires an answer. A peer that doesn't answer counts as failed.
    void askPeer(const NodeId &peer, const wire::PeerRequestBody &body,
                 JobMessenger::ReplyHandler take);
    void countRecomputed(const JobId &job, const MemberId &member, std::int64_t tokens);
    void runTicks();
    void runListing();

    ControlContext &m_context;
    FleetDriver &m_fleet;
    AttemptCallbacks m_runAttempt;
    JobTable m_table;
    JobLogs m_logs;
    JobMessenger m_messenger;
    std::map<JobId, Running> m_running;
    JobFeeds m_feeds;
    std::optional<wire::JobHoldAnswer> m_holdAnswer;
    std::optional<wire::JobHandOverAnswer> m_handOverAnswer;
    NodeId m_answeredPeer;
    Duration m_retention = JobTableSettings().m_retention;
    bool m_isRunning = false;
    bool m_isPlatformUp = false;
};

} // namespace gypsumdale
