#include <gypsumdale/serving/upstream_pool.hpp>

#include <algorithm> // max, sort

/// The loads of the peers at the upstreams.
namespace gypsumdale {

void UpstreamPool::setPeerLoad(const std::string &node,
                               const std::map<UpstreamId, InFlightLoad> &loads, TimePoint now)
{
    PeerLoad &peer = m_peerLoads[node];
    peer = PeerLoad{{}, now};
    for (const auto &[upstream, load] : loads)
        peer.m_loads[upstream] = ReportedLoad{load, now};
    sumPeerLoads();
}

void UpstreamPool::setPeerLoadAt(const std::string &node, const UpstreamId &upstream,
                                 InFlightLoad load, TimePoint now)
{
    const auto found = m_peerLoads.find(node);
    if (found == m_peerLoads.end())
        return;
    found->second.m_loads[upstream] = ReportedLoad{load, now};
    sumPeerLoads();
}

void UpstreamPool::removePeer(const std::string &node)
{
    if (m_peerLoads.erase(node) > 0)
        sumPeerLoads();
}

void UpstreamPool::sumPeerLoads()
{
    for (auto &[id, pooled] : m_upstreams) {
        pooled->m_peerTotal = InFlightLoad{};
        pooled->m_peerPrompts.clear();
        pooled->m_peerRunning.clear();
    }
    for (const auto &[node, peer] : m_peerLoads) {
        for (const auto &[id, report] : peer.m_loads) {
            const auto found = m_upstreams.find(id);
            // A peer that doesn't know of a restart yet reports requests that ended with the old
            // process.
            if (found == m_upstreams.end()
                || found->second->m_record.m_startedAt != report.m_load.m_startedAt)
                continue;
            addPeerLoad(*found->second, report);
        }
    }
    const auto isEarlier = [](const ReportedPrompts &left, const ReportedPrompts &right) {
        return left.m_at < right.m_at;
    };
    for (auto &[id, pooled] : m_upstreams)
        std::sort(pooled->m_peerPrompts.begin(), pooled->m_peerPrompts.end(), isEarlier);
}

void UpstreamPool::addPeerLoad(PooledUpstream &upstream, const ReportedLoad &report)
{
    upstream.m_peerTotal.m_running += report.m_load.m_running;
    if (report.m_load.m_running > 0)
        upstream.m_peerRunning.push_back(report.m_load.m_running);
    upstream.m_peerTotal.m_pendingTokens += report.m_load.m_pendingTokens;
    if (report.m_load.m_pendingTokens > 0)
        upstream.m_peerPrompts.push_back({report.m_at, report.m_load.m_pendingTokens});
}

Duration UpstreamPool::reportAge(TimePoint now) const
{
    Duration oldest{};
    for (const auto &[node, peer] : m_peerLoads)
        oldest = std::max(oldest, now - peer.m_receivedAt);
    return oldest;
}

} // namespace gypsumdale
