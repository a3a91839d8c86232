#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// An upstream at which a stopped run can go on.
struct RunContinuation
{
    PooledUpstreamPointer m_upstream;
    /// Identifier of the run's memory at that upstream.
    std::string m_memory;
};

/// One run of a stream at an upstream, shared between the request's fiber and the fiber that moves
/// it.
struct StreamRun
{
    RequestId m_request;
    PooledUpstreamPointer m_upstream;
    bool m_isOver = false;
    /// The run has a fiber that moves it.
    bool m_isScheduled = false;
    /// The run is being stopped, and the outcome isn't known yet.
    bool m_isStopping = false;
    /// Where the run can go on after it was stopped, best first. Empty while it was not.
    std::vector<RunContinuation> m_continuations;
};

} // namespace gypsumdale
