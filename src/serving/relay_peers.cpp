#include <gypsumdale/serving/relay_peers.hpp>

#include <algorithm> // any_of

namespace gypsumdale {

namespace {

constexpr int secondDrawShift = 32;

} // namespace

void RelayPeers::set(const std::string &node, const RelayOffer &offer)
{
    Peer &peer = m_peers[node];
    peer.m_offer = offer;
    const bool isMoved = peer.m_upstream
                         && (peer.m_upstream->m_record.m_ip != offer.m_ip
                             || peer.m_upstream->m_record.m_port != offer.m_port);
    if (!peer.m_upstream || isMoved)
        peer.m_upstream = std::make_shared<PooledUpstream>();
    UpstreamRecord &record = peer.m_upstream->m_record;
    record.m_id = UpstreamId(node);
    record.m_dataCentre = offer.m_dataCentre;
    record.m_ip = offer.m_ip;
    record.m_port = offer.m_port;
}

bool RelayPeers::isCandidate(const Peer &peer, const RelayRequest &request, TimePoint now)
{
    return peer.m_offer.m_port != 0 && peer.free() > 0
           && !peer.m_offer.m_cutOffServices.contains(request.m_service)
           && !request.m_excluded.contains(peer.m_upstream->m_record.m_id)
           && peer.m_upstream->m_avoidUntil <= now;
}

PooledUpstreamPointer RelayPeers::choose(const RelayRequest &request, TimePoint now) const
{
    Candidates local;
    Candidates remote;
    for (const auto &[node, peer] : m_peers) {
        if (!isCandidate(peer, request, now))
            continue;
        const bool isLocal = peer.m_offer.m_dataCentre == request.m_dataCentre;
        (isLocal ? local : remote).push_back(&peer);
    }
    const Candidates &candidates = local.empty() ? remote : local;
    if (candidates.empty())
        return nullptr;
    const Peer *first = candidates[request.m_draw % candidates.size()];
    const Peer *second = candidates[(request.m_draw >> secondDrawShift) % candidates.size()];
    return second->free() > first->free() ? second->m_upstream : first->m_upstream;
}

void RelayPeers::avoid(PooledUpstream &peer, TimePoint now)
{
    peer.m_avoidUntil = now + avoidTime;
}

bool RelayPeers::isTaking(const UpstreamId &peer) const
{
    const auto found = m_peers.find(peer.text());
    return found != m_peers.end() && found->second.m_offer.m_free > 0;
}

bool RelayPeers::isPeerAddress(std::string_view ip) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [ip](const auto &entry) { return entry.second.m_offer.m_ip == ip; });
}

} // namespace gypsumdale
