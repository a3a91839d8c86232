#pragma once

#include <gypsumdale/runtime/http_server.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <chrono> // seconds
#include <cstddef> // size_t

namespace gypsumdale {

inline constexpr std::size_t maxCallerConnections = 3000;
inline constexpr Duration callerWriteTimeout = std::chrono::seconds(10);

/// Returns the limits of the configuration; the default limits before the first one, or where it
/// sets none.
inline HttpLimits limitsOf(const CallerLimits &limits)
{
    HttpLimits result;
    result.m_connections = maxCallerConnections;
    result.m_writeTimeout = callerWriteTimeout;
    if (limits.m_headerBytes > 0)
        result.m_headerBytes = limits.m_headerBytes;
    if (limits.m_bodyBytes > 0)
        result.m_bodyBytes = limits.m_bodyBytes;
    if (limits.m_idleTimeout > Duration::zero())
        result.m_idleTimeout = limits.m_idleTimeout;
    return result;
}

} // namespace gypsumdale
