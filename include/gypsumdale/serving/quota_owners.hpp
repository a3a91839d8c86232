#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <array> // array
#include <cstddef> // size_t
#include <map> // map
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// Number of shards into which the accounts are divided. All accounts of a shard have one owner.
inline constexpr std::size_t quotaShardCount = 32;

/// Returns the shard of an account, the same in all processes. Complexity: linear in the length of
/// the name.
std::size_t quotaShardOf(const AccountId &account);

/// Which VM owns the quotas of each shard, as far as this VM can tell: the one with the highest
/// rendezvous weight of those that it reaches. VMs may disagree for a while; QuotaLedger says why
/// no quota is exceeded by that.
class QuotaOwners
{
public:
    explicit QuotaOwners(NodeId self)
        : m_self(std::move(self))
    {}

    /// Sets the peers that may own shards. Complexity: linear in their number if nothing changed.
    void setPeers(std::vector<NodeId> peers);

    /// Passes a peer that didn't answer over until it is heard again, and for a while.
    void recordUnreachable(const NodeId &peer, TimePoint now);
    /// Records a message of a peer.
    void recordHeard(const NodeId &peer, TimePoint now);

    /// Returns the owner of a shard. Complexity: constant, but linear in the number of VMs and
    /// shards after a change.
    const NodeId &ownerOf(std::size_t shard);

    /// Returns whether the owner of a shard takes the place of one that this VM can't reach.
    bool isStandIn(std::size_t shard);

    const NodeId &self() const { return m_self; }

private:
    struct Outage
    {
        TimePoint m_until{};
        bool m_isHeardAgain = false;
    };
    struct Owner
    {
        NodeId m_node;
        bool m_isStandIn = false;
    };

    void refresh();
    Owner choose(std::size_t shard) const;

    NodeId m_self;
    std::vector<NodeId> m_peers;
    /// Peers that are passed over.
    std::map<NodeId, Outage> m_unreachable;
    std::array<Owner, quotaShardCount> m_owners;
    bool m_isCurrent = false;
};

} // namespace gypsumdale
