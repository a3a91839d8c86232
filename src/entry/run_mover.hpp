#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/entry/upstream_client.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/serving/retry_budget_share.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <entry/stream_run.hpp>

#include <memory> // shared_ptr
#include <set> // set

namespace gypsumdale {

/// Moves runs that can't be resumed away from leaving engines.
///
/// A long draft would be lost with its engine: it may not run twice, and its caller would have to
/// start again. A leaving engine continues for two seconds or a little more, in which most runs
/// end. Those still running after half a second are stopped, copied to another engine with their
/// memory, and continue there within the same answer.
class RunMover
{
public:
    RunMover(FiberLoop &loop, UpstreamClient &client, UpstreamPool &pool,
             RetryBudgetShare &allowance, Logger &log, const DataCentreId &dataCentre,
             const Clock &clock);

    void add(const std::shared_ptr<StreamRun> &run) { m_runs.insert(run); }
    void remove(const std::shared_ptr<StreamRun> &run);

    /// Checks the upstreams' states, and schedules the moves from those that began to leave.
    /// Complexity: linear in the number of runs.
    void scheduleMoves();

private:
    void moveRunsOf(const PooledUpstreamPointer &source);
    void move(const std::shared_ptr<StreamRun> &run);

    FiberLoop &m_loop;
    UpstreamClient &m_client;
    UpstreamPool &m_pool;
    RetryBudgetShare &m_allowance;
    Logger &m_log;
    const DataCentreId &m_dataCentre;
    const Clock &m_clock;
    std::set<std::shared_ptr<StreamRun>> m_runs;
    std::set<PooledUpstreamPointer> m_leaving;
};

} // namespace gypsumdale
