#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_peers.hpp>

namespace gypsumdale {

/// Connects what the traffic thread reports and asks with the peers, on the control thread. Called
/// on the traffic thread, before the first request.
void connectThreads(EntryContext &context, EntryPeers &peers);

} // namespace gypsumdale
