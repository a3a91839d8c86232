#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <tuple> // tie

namespace gypsumdale {

/// One process of an upstream.
struct UpstreamProcess
{
    UpstreamId m_id;
    /// Its start as a wall time in milliseconds; 0 where not reported.
    std::int64_t m_startedAt = 0;

    friend bool operator==(const UpstreamProcess &, const UpstreamProcess &) = default;
    friend bool operator<(const UpstreamProcess &left, const UpstreamProcess &right)
    {
        return std::tie(left.m_id, left.m_startedAt) < std::tie(right.m_id, right.m_startedAt);
    }
};

} // namespace gypsumdale
