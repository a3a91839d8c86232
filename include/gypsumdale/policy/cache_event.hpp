#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <vector> // vector

namespace gypsumdale {

/// Blocks added to and evicted from an upstream's prefix cache, as hashes of prefixBlocks(). Events
/// may be late, and some may be missing.
struct CacheEvent
{
    UpstreamId m_upstream;
    std::vector<std::uint64_t> m_added;
    std::vector<std::uint64_t> m_evicted;
    /// Events before this one were lost, so that earlier blocks may have been evicted.
    bool m_isAfterGap = false;
};

} // namespace gypsumdale
