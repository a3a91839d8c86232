#include <gypsumdale/kernel/job_driver.hpp>

#include <fmt/format.h>

#include <algorithm> // ranges::find
#include <random> // random_device

namespace gypsumdale {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration listInterval = std::chrono::seconds(5);
constexpr Duration logWait = std::chrono::seconds(5);
constexpr Duration logPoll = std::chrono::milliseconds(20);

JobTableSettings settingsOf(const ControlContext &context)
{
    JobTableSettings settings;
    settings.m_self = {context.m_settings.m_node, context.m_incarnation};
    settings.m_dataCentre = context.m_settings.m_dataCentre;
    // Job names must be unguessable, and unique across processes.
    std::random_device device;
    settings.m_seed = (std::uint64_t{device()} << 32U) | device();
    return settings;
}

} // namespace

JobDriver::JobDriver(ControlContext &context, FleetDriver &fleet, AttemptCallbacks runAttempt)
    : m_context(context)
    , m_fleet(fleet)
    , m_runAttempt(std::move(runAttempt))
    , m_table(settingsOf(context))
    , m_logs(context, m_table, [this] { run(); })
    , m_messenger(context, fleet)
{}

void JobDriver::start()
{
    onNodesChanged();
    m_context.m_loop.spawn([this] { runTicks(); });
    m_context.m_loop.spawn([this] { runListing(); });
}

void JobDriver::runTicks()
{
    for (;;) {
        const bool isReachable = m_context.m_platform.isReachable();
        if (isReachable != m_isPlatformUp) {
            m_isPlatformUp = isReachable;
            m_context.m_log.info("platform-state",
                                 {{LogField::State, isReachable ? "up" : "down"}});
            m_table.onPlatformChanged(isReachable, m_context.now());
        }
        m_table.tick(m_context.now(), m_context.wallNow());
        run();
        m_logs.tick(m_retention);
        sleepFiber(tickInterval);
    }
}

void JobDriver::runListing()
{
    for (;;) {
        m_logs.list();
        sleepFiber(listInterval);
    }
}

Result<std::pair<JobId, std::shared_ptr<JobFeed>>> JobDriver::offer(const JobRequest &request)
{
    const Result<JobId> job = m_table.offer(request, m_context.now());
    if (!succeeded(job))
        return errorOf(job);
    auto feed = m_feeds.subscribe(valueOf(job));
    run();
    return std::pair(valueOf(job), std::move(feed));
}

std::pair<ReattachAnswer, std::shared_ptr<JobFeed>>
JobDriver::reattach(const JobId &job, const MemberId &member, const AnswerPosition &position)
{
    const TimePoint until = m_context.now() + logWait;
    for (;;) {
        ReattachAnswer answer = m_table.reattach(job, member, position, m_context.now());
        run();
        const bool mustWait = std::holds_alternative<AwaitLog>(answer);
        if (mustWait && m_context.now() < until) {
            sleepFiber(logPoll);
            continue;
        }
        if (const auto *cut = std::get_if<DiscardTokens>(&answer))
            countRecomputed(job, member, position.m_offset - cut->m_position.m_offset);
        std::shared_ptr<JobFeed> feed;
        const auto *serve = std::get_if<ServeFrom>(&answer);
        if (serve && !isOver(serve->m_state))
            feed = m_feeds.subscribe(job);
        return {std::move(answer), std::move(feed)};
    }
}

/// Counts the tokens that are generated again because a caller received them from a generation that
/// was lost.
void JobDriver::countRecomputed(const JobId &job, const MemberId &member, std::int64_t tokens)
{
    const std::vector<JobSummary> summaries = m_table.summaries();
    const auto found = std::ranges::find(summaries, job, &JobSummary::m_job);
    if (found == summaries.end() || tokens <= 0)
        return;
    m_context.m_metrics.series(member, found->m_profile)
            .add(RequestCounter::RecomputedTokens, static_cast<std::uint64_t>(tokens));
}

wire::JobLocated JobDriver::onLocate(const wire::JobLocate &ask) const
{
    wire::JobLocated located;
    located.job = ask.job;
    located.callerAddress = m_context.m_settings.m_callerListen.m_ip;
    located.callerPort = m_context.m_settings.m_callerListen.m_port;
    for (const JobSummary &summary : m_table.summaries()) {
        const bool isMine = summary.m_owner == m_context.m_settings.m_node;
        if (summary.m_job.text() != ask.job || !isMine)
            continue;
        located.known = true;
        located.owner = summary.m_owner.text();
    }
    return located;
}

void JobDriver::onTokens(const JobId &job, std::uint64_t attempt, std::int64_t epoch,
                         std::int64_t firstToken, const AnswerText &tokens)
{
    m_table.onTokens(job, attempt, firstToken, tokens, m_context.now());
    const auto running = m_running.find(job);
    // Events of an abandoned attempt must not reach the callers either.
    if (running != m_running.end() && running->second.m_attempt == attempt)
        m_feeds.tell(job, FeedTokens{epoch, firstToken, tokens}, false);
    run();
}

void JobDriver::onAttemptFinished(const JobId &job, std::uint64_t attempt, std::int64_t wholeTokens,
                                  const std::string &finishReason)
{
    m_table.onAttemptFinished(job, attempt, wholeTokens, finishReason, m_context.now());
    run();
}

void JobDriver::onAttemptFailed(const JobId &job, std::uint64_t attempt, bool isPermanent)
{
    m_table.onAttemptFailed(job, attempt, isPermanent, m_context.now());
    run();
}

void JobDriver::onAttemptPlaced(const JobId &job, std::uint64_t attempt, const UpstreamId &upstream)
{
    const auto running = m_running.find(job);
    if (running != m_running.end() && running->second.m_attempt == attempt)
        running->second.m_upstream = upstream;
    m_context.m_journal.record(m_context.wallNow(), RequestId(job.text()), Decision::Routed,
                               DecisionReason::FreeSlot, upstream.text());
}

void JobDriver::onUpstreamLeaving(const UpstreamId &upstream)
{
    const auto running = m_running;
    for (const auto &[job, attempt] : running) {
        if (attempt.m_upstream == upstream)
            m_table.onUpstreamLeaving(job, attempt.m_attempt, m_context.now());
    }
    run();
}

void JobDriver::onNodesChanged()
{
    std::vector<JobPeer> peers;
    for (const NodeView &view : m_fleet.membership().nodes()) {
        const NodeIdentity &identity = view.m_identity;
        if (view.m_state == NodeState::Alive && identity.m_incarnation != 0) {
            peers.push_back({{identity.m_node, identity.m_incarnation},
                             identity.m_dataCentre,
                             view.m_isLeaving});
        }
    }
    m_table.onPeers(std::move(peers), m_context.now());
    run();
}

void JobDriver::onNodeDead(const NodeStateChanged &change)
{
    m_table.onPeerDead({change.m_node, change.m_incarnation}, m_context.now());
    run();
}

void JobDriver::onReclaimNotice(ReclaimScope scope)
{
    m_table.onReclaimNotice(scope, m_context.now());
    run();
}

wire::JobHoldAnswer JobDriver::onHold(const NodeId &sender, const wire::JobHold &hold)
{
    m_holdAnswer.reset();
    m_answeredPeer = sender;
    m_table.onHoldRequest(sender, hold, m_context.now());
    run();
    m_answeredPeer = NodeId();
    return m_holdAnswer.value_or(wire::JobHoldAnswer());
}

void JobDriver::onRelease(const NodeId &sender, const wire::JobRelease &release)
{
    m_table.onReleaseRequest(sender, release, m_context.now());
    run();
}

wire::JobHandOverAnswer JobDriver::onHandOver(const NodeId &sender,
                                              const wire::JobHandOver &handOver)
{
    m_handOverAnswer.reset();
    m_answeredPeer = sender;
    m_table.onHandOverRequest(sender, handOver, m_context.now());
    run();
    m_answeredPeer = NodeId();
    return m_handOverAnswer.value_or(wire::JobHandOverAnswer());
}

void JobDriver::onHoldAnswer(const NodeId &sender, const wire::JobHoldAnswer &answer)
{
    m_table.onHoldAnswered(sender, answer, m_context.now());
    run();
}

void JobDriver::onHandOverAnswer(const NodeId &sender, const wire::JobHandOverAnswer &answer)
{
    m_table.onHandOverAnswered(sender, answer, m_context.now());
    run();
}

std::size_t JobDriver::unfinishedJobs() const
{
    return m_table.isDrained() ? 0 : m_table.summaries().size();
}

void JobDriver::run()
{
    // Executing a command may add further ones, which the outer call executes.
    if (m_isRunning)
        return;
    m_isRunning = true;
    for (;;) {
        const JobCommands commands = m_table.takeCommands();
        if (commands.empty())
            break;
        for (const JobCommand &command : commands)
            std::visit([this](const auto &value) { execute(value); }, command);
    }
    m_isRunning = false;
}

void JobDriver::execute(const AppendRecord &command)
{
    m_logs.append(command.m_log, command.m_record);
}

void JobDriver::execute(const FollowLog &command)
{
    m_logs.follow(command.m_log);
}

void JobDriver::execute(const UnfollowLog &command)
{
    m_logs.leave(command.m_log);
}

void JobDriver::askPeer(const NodeId &peer, const wire::PeerRequestBody &body,
                        JobMessenger::ReplyHandler take)
{
    m_messenger.ask(peer, body, std::move(take), [this, peer](bool hasAnswered) {
        if (!hasAnswered)
            m_table.onPeerFailed(peer, m_context.now());
        run();
    });
}

void JobDriver::execute(const HoldAtPeer &command)
{
    wire::PeerRequestBody body;
    body.__set_jobHold(command.m_hold);
    askPeer(command.m_peer, body, [this, peer = command.m_peer](const auto &reply) {
        if (reply.__isset.jobHoldAnswer)
            m_table.onHoldAnswered(peer, reply.jobHoldAnswer, m_context.now());
        return reply.__isset.jobHoldAnswer;
    });
}

void JobDriver::execute(const ReleaseAtPeer &command)
{
    wire::PeerRequestBody body;
    body.__set_jobRelease(command.m_release);
    m_messenger.tell(command.m_peer, body);
}

void JobDriver::execute(const AnswerHold &command)
{
    if (command.m_peer == m_answeredPeer) {
        m_holdAnswer = command.m_answer;
        return;
    }
    wire::PeerRequestBody body;
    body.__set_jobHoldAnswer(command.m_answer);
    m_messenger.tell(command.m_peer, body);
}

void JobDriver::execute(const HandOver &command)
{
    wire::PeerRequestBody body;
    body.__set_jobHandOver(command.m_handOver);
    askPeer(command.m_peer, body, [this, peer = command.m_peer](const auto &reply) {
        if (reply.__isset.jobHandOverAnswer)
            m_table.onHandOverAnswered(peer, reply.jobHandOverAnswer, m_context.now());
        return reply.__isset.jobHandOverAnswer;
    });
}

void JobDriver::execute(const AnswerHandOver &command)
{
    if (command.m_peer == m_answeredPeer) {
        m_handOverAnswer = command.m_answer;
        return;
    }
    wire::PeerRequestBody body;
    body.__set_jobHandOverAnswer(command.m_answer);
    m_messenger.tell(command.m_peer, body);
}

void JobDriver::execute(const StartAttempt &command)
{
    m_running[command.m_job] = {command.m_attempt, UpstreamId()};
    if (!command.m_soFar.isEmpty())
        m_context.m_journal.record(m_context.wallNow(), RequestId(command.m_job.text()),
                                   Decision::Resumed, DecisionReason::None,
                                   fmt::format("at token {}", command.m_soFar.tokens()));
    m_runAttempt.m_start(command);
}

void JobDriver::execute(const CancelAttempt &command)
{
    const auto running = m_running.find(command.m_job);
    if (running != m_running.end() && running->second.m_attempt == command.m_attempt)
        m_running.erase(running);
    m_runAttempt.m_cancel(command);
}

void JobDriver::execute(const ReportAccepted &command)
{
    m_context.m_metrics.add(Counter::JobsAccepted);
    m_context.m_journal.record(m_context.wallNow(), RequestId(command.m_job.text()),
                               Decision::Accepted);
    m_feeds.tell(command.m_job, FeedAccepted{}, false);
}

void JobDriver::execute(const ReportRefused &command)
{
    m_feeds.tell(command.m_job, FeedRefused{command.m_error}, true);
}

void JobDriver::execute(const RequestReattach &command)
{
    m_feeds.tell(command.m_job, FeedMoved{command.m_node}, true);
}

void JobDriver::execute(const ReportEnded &command)
{
    const RequestId request(command.m_job.text());
    if (command.m_state == JobState::Provisional) {
        m_context.m_log.info("job-provisional", {{LogField::Job, command.m_job}});
        m_context.m_journal.record(m_context.wallNow(), request, Decision::Held,
                                   DecisionReason::PlatformDown, "the answer is provisional");
    } else {
        const bool isDone = command.m_state == JobState::Finished;
        if (isDone)
            m_context.m_metrics.add(Counter::JobsFinished);
        m_context.m_journal.record(m_context.wallNow(), request,
                                   isDone ? Decision::Done : Decision::Failed);
    }
    m_running.erase(command.m_job);
    m_feeds.tell(command.m_job, FeedEnded{command.m_state}, true);
}

void JobDriver::execute(const ReportOverruled &command)
{
    m_context.m_metrics.add(Counter::JobsOverruled);
    m_context.m_log.warning("job-overruled", {{LogField::Job, command.m_job},
                                              {LogField::Peer, command.m_owner.text()}});
    m_context.m_journal.record(m_context.wallNow(), RequestId(command.m_job.text()),
                               Decision::TakenOver, DecisionReason::PlatformConflict,
                               "the provisional answer was replaced");
}

} // namespace gypsumdale
