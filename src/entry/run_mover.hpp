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
/// A long draft is lost when its engine is taken away: it may not run twice, and its caller would
/// have to begin anew. An engine that leaves goes on for two seconds or a little more, which most
/// runs end in; those still going after half of that are stopped, copied to another engine with
/// their memory, and go on there within the same answer.
class RunMover
{
public:
    RunMover(FiberLoop &loop, UpstreamClient &client, UpstreamPool &pool,
             RetryBudgetShare &allowance, Logger &log, const DataCentreId &dataCentre,
             const Clock &clock);

    void add(const std::shared_ptr<StreamRun> &run) { m_runs.insert(run); }
    void remove(const std::shared_ptr<StreamRun> &run);

    /// Takes note of the upstreams' states; schedules moves from those that began to leave. Linear
    /// in the runs.
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
