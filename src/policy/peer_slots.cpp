#include <gypsumdale/policy/peer_slots.hpp>

#include <xxhash.h>

#include <algorithm> // find, sort, unique
#include <utility> // move

namespace gypsumdale {

PeerSlots::PeerSlots(NodeId self, SlotShareSettings settings, Duration maxAge)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_maxAge(maxAge)
    , m_nodes{m_self}
{}

void PeerSlots::setNodes(std::vector<NodeId> nodes)
{
    nodes.push_back(m_self);
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    m_nodes = std::move(nodes);
    const auto own = std::find(m_nodes.begin(), m_nodes.end(), m_self);
    m_ownIndex = static_cast<std::size_t>(own - m_nodes.begin());
}

bool PeerSlots::isSuperseded(const NodeId &peer, std::uint64_t incarnation) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && incarnation < found->second.m_incarnation;
}

bool PeerSlots::isStale(const NodeId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() || found->second.m_isStale;
}

InFlightByUpstream PeerSlots::reportOf(const NodeId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? InFlightByUpstream{} : found->second.m_inFlight;
}

void PeerSlots::merge(const NodeId &peer, std::uint64_t incarnation, InFlightByUpstream inFlight,
                      TimePoint now)
{
    m_peers[peer] = Peer{incarnation, std::move(inFlight), now, false};
}

bool PeerSlots::markStalePeers(TimePoint now)
{
    bool hasChanged = false;
    for (auto &[id, peer] : m_peers) {
        if (peer.m_isStale || now - peer.m_receivedAt <= m_maxAge)
            continue;
        peer.m_isStale = true;
        hasChanged = true;
    }
    return hasChanged;
}

std::uint32_t PeerSlots::rankOf(std::size_t node, const UpstreamId &upstream) const
{
    const std::string &name = upstream.text();
    const std::size_t offset = XXH3_64bits(name.data(), name.size()) % m_nodes.size();
    return static_cast<std::uint32_t>((node + offset) % m_nodes.size());
}

std::uint32_t PeerSlots::chargeOf(std::size_t node, const UpstreamId &upstream,
                                  std::uint32_t slots) const
{
    const std::uint32_t evenShare = evenSlotShare(slots, nodeCount(), rankOf(node, upstream));
    const auto peer = m_peers.find(m_nodes[node]);
    if (peer == m_peers.end() || peer->second.m_isStale)
        return evenShare;
    const auto reported = peer->second.m_inFlight.find(upstream);
    const std::uint32_t inFlight = reported == peer->second.m_inFlight.end() ? 0 : reported->second;
    return peerCharge(m_settings, inFlight, evenShare);
}

std::uint32_t PeerSlots::chargeOf(const NodeId &peer, const UpstreamId &upstream,
                                  std::uint32_t slots) const
{
    const auto node = std::find(m_nodes.begin(), m_nodes.end(), peer);
    if (node == m_nodes.end())
        return 0;
    return chargeOf(static_cast<std::size_t>(node - m_nodes.begin()), upstream, slots);
}

std::uint32_t PeerSlots::chargeAt(const UpstreamId &upstream, std::uint32_t slots) const
{
    std::uint32_t charge = 0;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (node != m_ownIndex)
            charge += chargeOf(node, upstream, slots);
    }
    return charge;
}

} // namespace gypsumdale
