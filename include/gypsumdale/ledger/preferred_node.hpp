#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Returns the live node to which claims of a shard are preferably sent, so that the claims of one
/// interval share a write: the one with the highest rendezvous hash. Returns nothing if there are
/// no nodes. Safety does not depend on the nodes agreeing. Complexity: linear in the number of
/// nodes.
std::optional<NodeId> preferredNode(ShardNumber shard, std::span<const NodeId> live);

} // namespace gypsumdale
