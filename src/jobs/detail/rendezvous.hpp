#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Returns the weight of a node for a key in rendezvous hashing. Complexity: linear in the length
/// of the two texts.
std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node);

} // namespace gypsumdale::detail
