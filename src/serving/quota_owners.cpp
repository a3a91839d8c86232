#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/serving/quota_owners.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm> // find, max
#include <cstdint> // uint64_t
#include <string> // string
#include <utility> // move

namespace gypsumdale {

namespace {

/// Least time for which a VM that didn't answer is passed over. One that is heard but answers late
/// would be asked in vain for each request.
constexpr Duration unreachableDuration = std::chrono::seconds(3);

} // namespace

std::size_t quotaShardOf(const AccountId &account)
{
    const std::string &name = account.text();
    return XXH3_64bits(name.data(), name.size()) % quotaShardCount;
}

void QuotaOwners::setPeers(std::vector<NodeId> peers)
{
    if (peers == m_peers)
        return;
    // What is no longer a peer needs no record.
    std::erase_if(m_unreachable, [&peers](const auto &outage) {
        return std::find(peers.begin(), peers.end(), outage.first) == peers.end();
    });
    m_peers = std::move(peers);
    m_isCurrent = false;
}

void QuotaOwners::recordUnreachable(const NodeId &peer, TimePoint now)
{
    const bool isNew =
            m_unreachable.insert_or_assign(peer, Outage{now + unreachableDuration}).second;
    m_isCurrent = m_isCurrent && !isNew;
}

void QuotaOwners::recordHeard(const NodeId &peer, TimePoint now)
{
    const auto found = m_unreachable.find(peer);
    if (found != m_unreachable.end() && now >= found->second.m_until)
        found->second.m_isHeardAgain = true;
}

const NodeId &QuotaOwners::ownerOf(std::size_t shard)
{
    refresh();
    return m_owners.at(shard).m_node;
}

bool QuotaOwners::isStandIn(std::size_t shard)
{
    refresh();
    return m_owners.at(shard).m_isStandIn;
}

void QuotaOwners::refresh()
{
    const std::size_t returned = std::erase_if(
            m_unreachable, [](const auto &peer) { return peer.second.m_isHeardAgain; });
    if (m_isCurrent && returned == 0)
        return;
    for (std::size_t shard = 0; shard < quotaShardCount; ++shard)
        m_owners[shard] = choose(shard);
    m_isCurrent = true;
}

QuotaOwners::Owner QuotaOwners::choose(std::size_t shard) const
{
    const std::string key = fmt::format("quota-{}", shard);
    Owner owner{m_self, false};
    std::uint64_t weight = rendezvousWeight(key, m_self);
    std::uint64_t passedOver = 0;
    for (const NodeId &peer : m_peers) {
        const std::uint64_t peerWeight = rendezvousWeight(key, peer);
        if (m_unreachable.contains(peer)) {
            passedOver = std::max(passedOver, peerWeight);
        } else if (peerWeight > weight) {
            owner.m_node = peer;
            weight = peerWeight;
        }
    }
    owner.m_isStandIn = passedOver > weight;
    return owner;
}

} // namespace gypsumdale
