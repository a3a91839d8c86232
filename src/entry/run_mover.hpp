#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/entry/upstream_client.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/serving/retry_budget_share.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <entry/stream_run.hpp>
#include <platform/run_move_codec.hpp>

#include <functional> // function
#include <memory> // shared_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// Moves runs that can't be resumed away from leaving engines.
///
/// A long draft would be lost with its engine: it may not run twice, and its caller would have to
/// start again. A leaving engine continues for two seconds or a little more, in which most runs
/// end. Those still running after half a second are copied to another engine with their memory,
/// and go on meanwhile. Only a run whose copy has arrived, and that may go on at the target now, is
/// stopped; it continues there within the same answer, or where it was stopped if the target
/// doesn't take it. A run that can't be copied is left to end where it is.
class RunMover
{
public:
    RunMover(FiberLoop &loop, UpstreamClient &client, UpstreamPool &pool,
             RetryBudgetShare &allowance, Logger &log, const DataCentreId &dataCentre,
             const Clock &clock);

    /// Returns whether a run may go on at an upstream now.
    using MayContinueAt = std::function<bool(const PooledUpstream &upstream)>;
    void onContinuation(MayContinueAt mayContinueAt) { m_mayContinueAt = std::move(mayContinueAt); }

    void add(const std::shared_ptr<StreamRun> &run) { m_runs.insert(run); }
    void remove(const std::shared_ptr<StreamRun> &run);

    /// Checks the upstreams' states, and schedules the moves from those that began to leave.
    /// Complexity: linear in the number of runs.
    void scheduleMoves();

private:
    /// A copy of a run's memory that a target holds.
    struct RunCopy
    {
        PooledUpstreamPointer m_target;
        std::string m_memory;
    };

    void moveRunsOf(const PooledUpstreamPointer &source);
    void move(StreamRun &run);
    bool isToMove(const StreamRun &run) const;
    PooledUpstreamPointer chooseTarget(const StreamRun &run,
                                       const std::set<UpstreamId> &refused) const;
    std::optional<RunCopy> copy(StreamRun &run, const PooledUpstreamPointer &target);
    bool stop(StreamRun &run, const RunCopy &copy);
    void release(const StreamRun &run, const RunCopy &copy);
    platform::MoveAnswer call(const StreamRun &run, const PooledUpstream &target,
                              platform::MoveStep step);

    FiberLoop &m_loop;
    UpstreamClient &m_client;
    UpstreamPool &m_pool;
    RetryBudgetShare &m_allowance;
    Logger &m_log;
    const DataCentreId &m_dataCentre;
    const Clock &m_clock;
    MayContinueAt m_mayContinueAt;
    std::set<std::shared_ptr<StreamRun>> m_runs;
    std::set<PooledUpstreamPointer> m_leaving;
};

} // namespace gypsumdale
