#include "rendezvous.hpp"

#include <xxhash.h>

namespace gypsumdale::detail {

std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node)
{
    const std::uint64_t seed = XXH64(node.text().data(), node.text().size(), 0);
    return XXH64(key.data(), key.size(), seed);
}

} // namespace gypsumdale::detail
