#include <gypsumdale/ledger/preferred_node.hpp>

#include <xxhash.h>

namespace gypsumdale {

std::optional<NodeId> preferredNode(ShardNumber shard, std::span<const NodeId> live)
{
    std::optional<NodeId> best;
    XXH64_hash_t bestScore = 0;
    for (const NodeId &node : live) {
        const XXH64_hash_t score =
                XXH3_64bits_withSeed(node.text().data(), node.text().size(), shard);
        const bool isBetter = !best || score > bestScore || (score == bestScore && node < *best);
        if (!isBetter)
            continue;
        best = node;
        bestScore = score;
    }
    return best;
}

} // namespace gypsumdale
