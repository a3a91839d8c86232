#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// The weight of a node for a key: a hash of both that all processes compute alike. Linear in the
/// names.
std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node);

/// Returns the `count` nodes with the highest weights for a key, best first; fewer if there are
/// fewer. When a node joins or goes, only the keys it had or gets change hands. O(n log count).
std::vector<NodeId> rendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes,
                                     std::size_t count);

/// Tells whether a node is among the `count` chosen ones for a key, without building the list:
/// what decides who watches the configuration, reads the VM list or holds a shard. Linear in nodes.
bool isRendezvousChoice(std::string_view key, const std::vector<NodeId> &nodes, std::size_t count,
                        const NodeId &self);

} // namespace gypsumdale
