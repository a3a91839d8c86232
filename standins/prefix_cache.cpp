#include "standins/prefix_cache.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm> // min

namespace gypsumdale::standins {

std::vector<std::string_view> splitWords(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    std::vector<std::string_view> words;
    std::size_t begin = text.find_first_not_of(blanks);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(blanks, begin), text.size());
        words.push_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(blanks, end);
    }
    return words;
}

std::vector<std::uint64_t> blockHashes(const std::vector<std::string_view> &words)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t begin = 0; begin + blockWords <= words.size(); begin += blockWords) {
        std::string block;
        for (std::size_t word = begin; word < begin + blockWords; ++word) {
            if (!block.empty())
                block += ' ';
            block += words[word];
        }
        previous = XXH64(block.data(), block.size(), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = m_entries.find(block);
        if (found == m_entries.end())
            break;
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        ++matched;
    }
    return matched;
}

std::vector<CacheChange> PrefixCache::store(const std::vector<std::uint64_t> &blocks)
{
    std::vector<CacheChange> changes;
    for (const std::uint64_t block : blocks) {
        if (const auto found = m_entries.find(block); found != m_entries.end()) {
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            continue;
        }
        m_recent.push_front(block);
        m_entries[block] = m_recent.begin();
        changes.push_back({block, true});
        if (m_entries.size() <= m_maxBlocks)
            continue;
        changes.push_back({m_recent.back(), false});
        m_entries.erase(m_recent.back());
        m_recent.pop_back();
    }
    return changes;
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_recent.clear();
}

} // namespace gypsumdale::standins
