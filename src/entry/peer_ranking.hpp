#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/peer_table.hpp>

#include <cstddef> // size_t
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Returns the peers among the first `count` VMs for a key. The order follows from the key, so that
/// VMs which see the same fleet agree on it: the best of each data centre come first. Complexity:
/// linear in the peers, plus a sort.
std::vector<KnownPeerPointer> rankedPeers(const EntryContext &context, const PeerTable &table,
                                          const std::string &key, std::size_t count);

} // namespace gypsumdale
