#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Returns the live node that claims of a shard are best sent to, so that claims of one interval
/// share one write: the highest rendezvous hash. Nothing if there are no nodes. Safety does not
/// rest on nodes agreeing. Linear.
std::optional<NodeId> preferredNode(ShardNumber shard, std::span<const NodeId> live);

} // namespace gypsumdale
