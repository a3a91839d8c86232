#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <list> // list
#include <string> // string
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::standins {

/// Number of words in a block of the prefix cache; only full blocks are cached.
inline constexpr int blockWords = 16;

/// Splits a text into words, which the engine stand-in uses as tokens.
/// Complexity: linear in the length of the text.
std::vector<std::string_view> splitWords(std::string_view text);

/// Returns one hash for each full block of words: xxh64 of the words joined by single spaces,
/// seeded with the hash of the previous block (0 for the first). Complexity: linear in the length
/// of the words.
std::vector<std::uint64_t> blockHashes(const std::vector<std::string_view> &words);

/// A block that was stored in the cache or evicted from it.
struct CacheChange
{
    std::uint64_t m_block = 0;
    bool m_stored = true;
};

/// Prompt blocks that an engine holds, with eviction of the least recently used.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    {}

    /// Returns the number of leading blocks in the cache and marks them as used.
    /// Complexity: linear in the returned number.
    std::size_t match(const std::vector<std::uint64_t> &blocks);

    /// Stores blocks and evicts the least recently used ones beyond the limit; returns the changes.
    /// Complexity: linear in the number of blocks.
    std::vector<CacheChange> store(const std::vector<std::uint64_t> &blocks);

    /// Removes all blocks, as a restart does. Complexity: linear in the number of blocks.
    void clear();

    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_recent; ///< most recently used block first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
};

} // namespace gypsumdale::standins
