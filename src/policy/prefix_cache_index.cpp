#include <gypsumdale/policy/prefix_cache_index.hpp>

namespace gypsumdale {

PrefixCacheIndex::PrefixCacheIndex(std::size_t blocksPerUpstream, Duration maxAge)
    : m_blocksPerUpstream(blocksPerUpstream)
    , m_maxAge(maxAge)
{}

void PrefixCacheIndex::recordBlocks(const UpstreamId &upstream,
                                    std::span<const std::uint64_t> blocks, TimePoint now)
{
    Memory &memory = m_upstreams[upstream];
    // From the last block on, so that the leading ones, which others share, are forgotten last.
    for (std::size_t left = blocks.size(); left > 0; --left) {
        const std::uint64_t hash = blocks[left - 1];
        const auto known = memory.m_index.find(hash);
        if (known != memory.m_index.end())
            memory.m_blocks.erase(known->second);
        memory.m_blocks.push_front(Block{hash, now});
        memory.m_index[hash] = memory.m_blocks.begin();
    }
    while (memory.m_blocks.size() > m_blocksPerUpstream) {
        memory.m_index.erase(memory.m_blocks.back().m_hash);
        memory.m_blocks.pop_back();
    }
}

void PrefixCacheIndex::evict(const UpstreamId &upstream, std::span<const std::uint64_t> blocks)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    Memory &memory = found->second;
    for (const std::uint64_t hash : blocks) {
        const auto known = memory.m_index.find(hash);
        if (known == memory.m_index.end())
            continue;
        memory.m_blocks.erase(known->second);
        memory.m_index.erase(known);
    }
}

void PrefixCacheIndex::halveLifetimes(const UpstreamId &upstream, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    for (Block &block : found->second.m_blocks) {
        const Duration left = block.m_usedAt + m_maxAge - now;
        if (left > Duration{})
            block.m_usedAt -= left / 2;
    }
}

void PrefixCacheIndex::forget(const UpstreamId &upstream)
{
    m_upstreams.erase(upstream);
}

std::size_t PrefixCacheIndex::match(const UpstreamId &upstream,
                                    std::span<const std::uint64_t> blocks, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    std::size_t count = 0;
    for (const std::uint64_t hash : blocks) {
        const auto known = found->second.m_index.find(hash);
        if (known == found->second.m_index.end() || now - known->second->m_usedAt > m_maxAge)
            break;
        ++count;
    }
    return count;
}

} // namespace gypsumdale
