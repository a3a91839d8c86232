#include <gypsumdale/policy/prefix_cache_index.hpp>

namespace gypsumdale {

PrefixCacheIndex::PrefixCacheIndex(std::size_t blocksPerUpstream, Duration maxAge)
    : m_blocksPerUpstream(blocksPerUpstream)
    , m_maxAge(maxAge)
{}

void PrefixCacheIndex::recordBlocks(const UpstreamId &upstream,
                                    std::span<const std::uint64_t> blocks, TimePoint now)
{
    BlockList &list = m_upstreams[upstream];
    // Backwards, so that the leading blocks, which other prompts share, are evicted last.
    for (std::size_t left = blocks.size(); left > 0; --left) {
        const std::uint64_t hash = blocks[left - 1];
        const auto known = list.m_index.find(hash);
        if (known != list.m_index.end())
            list.m_blocks.erase(known->second);
        list.m_blocks.push_front(Block{hash, now});
        list.m_index[hash] = list.m_blocks.begin();
    }
    while (list.m_blocks.size() > m_blocksPerUpstream) {
        list.m_index.erase(list.m_blocks.back().m_hash);
        list.m_blocks.pop_back();
    }
}

void PrefixCacheIndex::evict(const UpstreamId &upstream, std::span<const std::uint64_t> blocks)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    BlockList &list = found->second;
    for (const std::uint64_t hash : blocks) {
        const auto known = list.m_index.find(hash);
        if (known == list.m_index.end())
            continue;
        list.m_blocks.erase(known->second);
        list.m_index.erase(known);
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
