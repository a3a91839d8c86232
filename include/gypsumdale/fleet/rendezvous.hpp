#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Returns the weight of a node for a key: a hash of both that is the same in all processes.
/// Complexity: linear in the length of the names.
std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node);

/// Returns the `count` nodes with the highest weights for a key, best first; fewer if there are
/// fewer. When a node is added or removed, only the keys that it gets or had change their owner.
/// Complexity: O(n log count).
std::vector<NodeId> rendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes,
                                     std::size_t count);

/// Returns whether a node is among the `count` selected ones for a key, without building the list.
/// Decides which node watches the configuration, reads the VM list or holds a shard. Complexity:
/// linear in the number of nodes.
bool isRendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes, std::size_t count,
                        const NodeId &self);

} // namespace gypsumdale
