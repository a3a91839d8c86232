#include <gypsumdale/serving/stream_origins.hpp>

#include <entry/peer_ranking.hpp>

#include <algorithm> // min
#include <map> // map

namespace gypsumdale {

std::vector<KnownPeerPointer> rankedPeers(const EntryContext &context, const PeerTable &table,
                                          const std::string &key, std::size_t count)
{
    std::vector<OriginHolder> vms = {{context.m_settings.m_node, context.m_settings.m_dataCentre}};
    std::map<NodeId, KnownPeerPointer> byNode;
    for (const KnownPeerPointer &peer : table.respondingPeers(context.now())) {
        const NodeId node(peer->m_node);
        byNode[node] = peer;
        vms.push_back({node, peer->m_state.m_dataCentre});
    }
    const std::vector<NodeId> ranked = rankOriginHolders(RequestId(key), vms);
    std::vector<KnownPeerPointer> peers;
    for (std::size_t rank = 0; rank < std::min(count, ranked.size()); ++rank) {
        if (const auto found = byNode.find(ranked[rank]); found != byNode.end())
            peers.push_back(found->second);
    }
    return peers;
}

} // namespace gypsumdale
