#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <list> // list
#include <span> // span
#include <unordered_map> // unordered_map

namespace gypsumdale {

/// Index of the prompt blocks that each upstream probably has in its prefix cache. Bounded in size;
/// entries expire.
class PrefixCacheIndex
{
public:
    PrefixCacheIndex(std::size_t blocksPerUpstream, Duration maxAge);

    /// Records blocks as just used, and evicts the least recently used ones beyond the bound.
    /// Complexity: linear in the blocks.
    void recordBlocks(const UpstreamId &upstream, std::span<const std::uint64_t> blocks,
                      TimePoint now);

    void evict(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    /// Halves the remaining lifetime of an upstream's blocks, for use after lost events.
    void halveLifetimes(const UpstreamId &upstream, TimePoint now);

    void forget(const UpstreamId &upstream);

    /// Returns the number of leading blocks that the upstream probably holds. Complexity: linear in
    /// the result.
    std::size_t match(const UpstreamId &upstream, std::span<const std::uint64_t> blocks,
                      TimePoint now) const;

private:
    struct Block
    {
        std::uint64_t m_hash = 0;
        TimePoint m_usedAt{};
    };
    struct BlockList
    {
        /// Most recently used first.
        std::list<Block> m_blocks;
        std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    };

    std::size_t m_blocksPerUpstream;
    Duration m_maxAge;
    std::unordered_map<UpstreamId, BlockList> m_upstreams;
};

} // namespace gypsumdale
