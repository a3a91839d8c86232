#include <entry/run_mover.hpp>

#include <utility> // swap
#include <variant> // get_if

namespace gypsumdale {

namespace {

/// Time between learning that an engine leaves and moving its runs. Notices are given 2 s or more
/// ahead and are up to 0.9 s old when they are received; a move takes up to 0.2 s.
constexpr Duration delayBeforeMove = std::chrono::milliseconds(500);
/// Copies of one run that are tried, and the time between them.
constexpr int maxCopies = 4;
constexpr Duration delayBetweenCopies = std::chrono::milliseconds(250);

/// Returns whether an upstream's runs have to be moved. A process that was replaced by another has
/// no runs left to move, and the one now at its address doesn't know them.
bool isLeaving(const PooledUpstream &upstream)
{
    return !upstream.m_isReplaced && (upstream.m_isGone || upstream.m_record.m_isDraining);
}

} // namespace

RunMover::RunMover(FiberLoop &loop, UpstreamClient &client, UpstreamPool &pool,
                   RetryBudgetShare &allowance, Logger &log, const DataCentreId &dataCentre,
                   const Clock &clock)
    : m_loop(loop)
    , m_client(client)
    , m_pool(pool)
    , m_allowance(allowance)
    , m_log(log)
    , m_dataCentre(dataCentre)
    , m_clock(clock)
{}

void RunMover::remove(const std::shared_ptr<StreamRun> &run)
{
    run->m_isOver = true;
    m_runs.erase(run);
}

void RunMover::scheduleMoves()
{
    std::set<PooledUpstreamPointer> sources;
    for (const auto &run : m_runs) {
        if (isLeaving(*run->m_upstream))
            sources.insert(run->m_upstream);
    }
    // An upstream that came back may leave again.
    std::erase_if(m_leaving, [&sources](const PooledUpstreamPointer &upstream) {
        return !sources.contains(upstream);
    });
    for (const PooledUpstreamPointer &source : sources) {
        if (!m_leaving.insert(source).second)
            continue;
        m_loop.spawn([this, source] {
            sleepFiber(delayBeforeMove);
            // Its entry may have been unreadable only for a moment.
            if (isLeaving(*source))
                moveRunsOf(source);
        });
    }
}

void RunMover::moveRunsOf(const PooledUpstreamPointer &source)
{
    for (const auto &run : m_runs) {
        if (run->m_upstream != source || run->m_isScheduled)
            continue;
        run->m_isScheduled = true;
        m_loop.spawn([this, run] { move(*run); });
    }
}

/// Tries targets until a run has been stopped with its copy in place, or is over.
void RunMover::move(StreamRun &run)
{
    std::set<UpstreamId> refused;
    for (int attempt = 0; attempt < maxCopies && isToMove(run); ++attempt) {
        const PooledUpstreamPointer target = chooseTarget(run, refused);
        const std::optional<RunCopy> copied = target ? copy(run, target) : std::nullopt;
        if (copied && stop(run, *copied))
            return;
        if (copied)
            release(run, *copied);
        if (target)
            refused.insert(target->m_record.m_id);
        sleepFiber(delayBetweenCopies);
    }
}

bool RunMover::isToMove(const StreamRun &run) const
{
    return !run.m_isOver && isLeaving(*run.m_upstream);
}

PooledUpstreamPointer RunMover::chooseTarget(const StreamRun &run,
                                             const std::set<UpstreamId> &refused) const
{
    const UpstreamRecord &source = run.m_upstream->m_record;
    PlacementRequest placement;
    placement.m_service = source.m_service;
    placement.m_dataCentre = m_dataCentre;
    // Little is left to read at the target, so the selection depends on how busy it is.
    placement.m_promptTokens = 1;
    placement.m_excluded = refused;
    placement.m_excluded.insert(source.m_id);
    placement.m_softwareVersion = source.m_softwareVersion;
    return m_pool.choose(placement, m_clock.now());
}

std::optional<RunMover::RunCopy> RunMover::copy(StreamRun &run, const PooledUpstreamPointer &target)
{
    const platform::MoveAnswer answer = call(run, *target, platform::MoveStep::Copy);
    if (!answer.m_isCopied || answer.m_memory.empty())
        return std::nullopt;
    return RunCopy{target, answer.m_memory};
}

/// Stops a run whose copy is in place. Returns whether it may have stopped; otherwise it goes on.
bool RunMover::stop(StreamRun &run, const RunCopy &copy)
{
    const bool mayContinue = !m_mayContinueAt || m_mayContinueAt(*copy.m_target);
    if (!isToMove(run) || !mayContinue
        || !m_allowance.tryTake(run.m_upstream->m_record.m_service, m_clock.now()))
        return false;
    m_pool.takePermit(*copy.m_target, m_clock.now());
    run.m_isStopping = true;
    const platform::MoveAnswer answer = call(run, *copy.m_target, platform::MoveStep::Stop);
    run.m_isStopping = false;
    if (answer.m_isUnknownRun)
        return false;
    // If the answer was lost, the copy that was made before is there all the same.
    const std::string memory = answer.m_memory.empty() ? copy.m_memory : answer.m_memory;
    run.m_continuations = {{copy.m_target, memory}, {run.m_upstream, memory}};
    if (answer.m_isRefused)
        std::swap(run.m_continuations.front(), run.m_continuations.back());
    return true;
}

/// Frees a copy that isn't used. It occupies a slot of its target.
void RunMover::release(const StreamRun &run, const RunCopy &copy)
{
    m_client.call(platform::releaseCall(run.m_upstream->m_record, copy.m_memory));
}

platform::MoveAnswer RunMover::call(const StreamRun &run, const PooledUpstream &target,
                                    platform::MoveStep step)
{
    const UpstreamRecord source = run.m_upstream->m_record;
    const UpstreamRecord record = target.m_record;
    const auto result = m_client.call(platform::moveCall(source, record, run.m_request, step));
    platform::MoveAnswer answer;
    int status = 0;
    if (const auto *reply = std::get_if<HttpReply>(&result)) {
        answer = platform::decodeMove(source, *reply);
        status = reply->m_status;
    }
    const bool isStop = step == platform::MoveStep::Stop;
    m_log.info(isStop ? LogEvent("run-moved") : LogEvent("run-copied"),
               {run.m_request,
                source.m_id,
                source.m_softwareVersion,
                {LogField::TargetSoftwareVersion, record.m_softwareVersion},
                {LogField::Name, record.m_id.text()},
                {LogField::Status, status},
                {LogField::Outcome, answer.m_isCopied ? "copied" : "not-copied"}});
    return answer;
}

} // namespace gypsumdale
