#include <entry/run_mover.hpp>

#include <platform/run_move_codec.hpp>

#include <vector> // vector

namespace gypsumdale {

namespace {

/// Time between learning that an engine leaves and moving its runs. Notices are given 2 s or more
/// ahead and are up to 0.9 s old when they are received; a move takes up to 0.2 s.
constexpr Duration delayBeforeMove = std::chrono::milliseconds(500);

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
    std::vector<std::shared_ptr<StreamRun>> runs;
    for (const auto &run : m_runs) {
        if (run->m_upstream == source && !run->m_isMoving)
            runs.push_back(run);
    }
    for (const auto &run : runs)
        m_loop.spawn([this, run] { move(run); });
}

void RunMover::move(const std::shared_ptr<StreamRun> &run)
{
    const UpstreamRecord source = run->m_upstream->m_record;
    PlacementRequest placement;
    placement.m_service = source.m_service;
    placement.m_dataCentre = m_dataCentre;
    // Little is left to read at the target, so the selection depends on how busy it is.
    placement.m_promptTokens = 1;
    placement.m_excluded = {source.m_id};
    placement.m_softwareVersion = source.m_softwareVersion;
    const PooledUpstreamPointer target = m_pool.choose(placement, m_clock.now());
    if (run->m_isOver || !target || !m_allowance.tryTake(source.m_service, m_clock.now()))
        return;
    m_pool.takePermit(*target, m_clock.now());
    run->m_isMoving = true;
    const auto result = m_client.call(platform::moveCall(source, target->m_record, run->m_request));
    run->m_isMoving = false;
    platform::MoveAnswer answer;
    int status = 0;
    if (const auto *reply = std::get_if<HttpReply>(&result)) {
        answer = platform::decodeMove(source, *reply);
        status = reply->m_status;
    }
    // If no copy was possible, the stopped run continues where its memory is, for as long as it
    // can.
    if (!answer.m_memory.empty())
        run->m_moved = MovedRun{answer.m_isCopied ? target : run->m_upstream, answer.m_memory};
    m_log.info("run-moved", {run->m_request,
                             source.m_id,
                             source.m_softwareVersion,
                             {LogField::TargetSoftwareVersion, target->m_record.m_softwareVersion},
                             {LogField::Name, target->m_record.m_id.text()},
                             {LogField::Status, status},
                             {LogField::Outcome, answer.m_isCopied ? "copied" : "not-copied"}});
}

} // namespace gypsumdale
