#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <vector> // vector

namespace gypsumdale {

/// What an upstream's prefix cache gained or lost, in the hashes of prefixBlocks(). Events come
/// late and with gaps.
struct CacheEvent
{
    UpstreamId m_upstream;
    std::vector<std::uint64_t> m_added;
    std::vector<std::uint64_t> m_evicted;
    /// Events before this one were lost: what was remembered may be gone.
    bool m_isAfterGap = false;
};

} // namespace gypsumdale
