#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/fleet/upstream_key.hpp>

#include <xxhash.h>

#include <algorithm> // count_if, find, partial_sort
#include <string> // string

namespace gypsumdale {

namespace {

constexpr std::int64_t upstreamKeyMask = (std::int64_t(1) << 40) - 1;

struct WeightedNode
{
    std::uint64_t m_weight = 0;
    const NodeId *m_node = nullptr;
};

/// Orders by weight, and by name if the weights are equal, so that all processes agree.
bool isHeavier(const WeightedNode &left, const WeightedNode &right)
{
    if (left.m_weight != right.m_weight)
        return left.m_weight > right.m_weight;
    return *left.m_node < *right.m_node;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.text().data(), node.text().size(), seed);
}

std::vector<NodeId> rendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes,
                                     std::size_t count)
{
    std::vector<WeightedNode> weighted;
    weighted.reserve(nodes.size());
    for (const NodeId &node : nodes)
        weighted.push_back({rendezvousWeight(key, node), &node});
    const std::size_t kept = std::min(count, weighted.size());
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), end, weighted.end(), isHeavier);

    std::vector<NodeId> chosen;
    for (auto entry = weighted.begin(); entry != end; ++entry)
        chosen.push_back(*entry->m_node);
    return chosen;
}

bool isRendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes, std::size_t count,
                        const NodeId &self)
{
    if (std::find(nodes.begin(), nodes.end(), self) == nodes.end())
        return false;
    const WeightedNode own = {rendezvousWeight(key, self), &self};
    const auto isAhead = [&](const NodeId &node) {
        return isHeavier({rendezvousWeight(key, node), &node}, own);
    };
    const auto ahead = std::count_if(nodes.begin(), nodes.end(), isAhead);
    return static_cast<std::size_t>(ahead) < count;
}

std::int64_t upstreamKey(const UpstreamId &upstream)
{
    const std::string &name = upstream.text();
    return static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size())) & upstreamKeyMask;
}

} // namespace gypsumdale
