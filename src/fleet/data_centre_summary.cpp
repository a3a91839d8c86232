#include <gypsumdale/fleet/data_centre_summary.hpp>

#include <xxhash.h>

namespace gypsumdale {

std::int64_t digestOf(const std::vector<NodeIdentity> &nodes)
{
    std::int64_t digest = 0;
    for (const NodeIdentity &node : nodes) {
        const std::string &name = node.m_node.text();
        const auto seed = static_cast<XXH64_hash_t>(node.m_incarnation);
        digest ^= static_cast<std::int64_t>(XXH3_64bits_withSeed(name.data(), name.size(), seed));
    }
    return digest;
}

} // namespace gypsumdale
