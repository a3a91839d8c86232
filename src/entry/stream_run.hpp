#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// The upstream at which a moved run continues.
struct MovedRun
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
    bool m_isMoving = false;
    std::optional<MovedRun> m_moved;
};

} // namespace gypsumdale
