#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <list> // list
#include <span> // span
#include <unordered_map> // unordered_map

namespace gypsumdale {

/// Which prompt blocks each upstream probably has in its cache: a bounded memory that ages.
class PrefixCacheIndex
{
public:
    PrefixCacheIndex(std::size_t blocksPerUpstream, Duration maxAge);

    /// Remembers blocks as just used; the least recently used beyond the bound are forgotten.
    /// Linear in the blocks.
    void recordBlocks(const UpstreamId &upstream, std::span<const std::uint64_t> blocks,
                      TimePoint now);

    void evict(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    /// Halves the remaining life of all that is remembered of an upstream, after lost events.
    void halveLifetimes(const UpstreamId &upstream, TimePoint now);

    void forget(const UpstreamId &upstream);

    /// Returns how many leading blocks the upstream probably holds. Linear in the result.
    std::size_t match(const UpstreamId &upstream, std::span<const std::uint64_t> blocks,
                      TimePoint now) const;

private:
    struct Block
    {
        std::uint64_t m_hash = 0;
        TimePoint m_usedAt{};
    };
    struct Memory
    {
        /// The most recently used first.
        std::list<Block> m_blocks;
        std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    };

    std::size_t m_blocksPerUpstream;
    Duration m_maxAge;
    std::unordered_map<UpstreamId, Memory> m_upstreams;
};

} // namespace gypsumdale
