#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Returns how much rendezvous hashing prefers a node for a key. Linear in the two texts.
std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node);

} // namespace gypsumdale::detail
