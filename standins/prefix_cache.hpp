#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <list> // list
#include <string> // string
#include <string_view> // string_view
#include <unordered_map> // unordered_map
#include <vector> // vector

namespace gypsumdale::standins {

/// Words in a block of the prefix cache; only whole blocks are cached.
inline constexpr int blockWords = 16;

/// Splits a text into its words, which stand in for tokens. Linear.
std::vector<std::string_view> splitWords(std::string_view text);

/// Returns one hash for each whole block of a text: xxh64 of its words joined by single spaces,
/// seeded with the hash of the block before it (0 for the first). Linear.
std::vector<std::uint64_t> blockHashes(const std::vector<std::string_view> &words);

/// A block that entered or left the cache.
struct CacheChange
{
    std::uint64_t m_block = 0;
    bool m_stored = true;
};

/// The blocks of prompts that an engine still holds; the least recently used go first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    {}

    /// Returns how many leading blocks are held and marks them as used. Linear in them.
    std::size_t match(const std::vector<std::uint64_t> &blocks);

    /// Stores blocks and evicts the least recently used beyond the limit; returns what changed.
    /// Linear in the blocks.
    std::vector<CacheChange> store(const std::vector<std::uint64_t> &blocks);

    /// Forgets everything, as a restart does. Linear.
    void clear();

    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_recent; ///< the most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
};

} // namespace gypsumdale::standins
