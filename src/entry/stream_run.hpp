#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// Where a moved run goes on.
struct MovedRun
{
    PooledUpstreamPointer m_upstream;
    /// Names its memory, as the upstream understands it.
    std::string m_memory;
};

/// One run of a stream at an upstream, shared between the request's fiber and one that moves it.
struct StreamRun
{
    RequestId m_request;
    PooledUpstreamPointer m_upstream;
    bool m_isOver = false;
    bool m_isMoving = false;
    std::optional<MovedRun> m_moved;
};

} // namespace gypsumdale
