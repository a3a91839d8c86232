#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/policy/slot_share.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <map> // map
#include <optional> // optional
#include <vector> // vector

namespace gypsumdale {

/// Number of requests in flight by upstream.
using InFlightByUpstream = std::map<UpstreamId, std::uint32_t>;

/// The live entry VMs of the data centre, this one included, and the slots charged for each peer at
/// an upstream: its last reported requests in flight, or its even share while it is silent.
class PeerSlots
{
public:
    PeerSlots(NodeId self, SlotShareSettings settings, Duration maxAge);

    /// Sets the live entry VMs. This VM always counts, listed or not.
    void setNodes(std::vector<NodeId> nodes);
    std::uint32_t nodeCount() const { return static_cast<std::uint32_t>(m_nodes.size()); }

    /// Returns this entry VM's rank in the distribution of the upstream's slots. Complexity:
    /// constant.
    std::uint32_t ownRank(const UpstreamId &upstream) const { return rankOf(m_ownIndex, upstream); }

    /// Returns whether an incarnation is older than the peer's current one.
    bool isSuperseded(const NodeId &peer, std::uint64_t incarnation) const;
    /// Returns whether the peer's last heartbeat is too old, or none was received.
    bool isStale(const NodeId &peer) const;
    /// Returns the last report of a peer, or an empty one.
    InFlightByUpstream reportOf(const NodeId &peer) const;
    void merge(const NodeId &peer, std::uint64_t incarnation, InFlightByUpstream inFlight,
               TimePoint now);
    /// Marks the peers whose last heartbeat is too old; returns whether there are new ones.
    /// Complexity: linear.
    bool markStalePeers(TimePoint now);

    /// Returns the slots charged for a peer at an upstream with this number of slots; 0 for a node
    /// that is not live.
    std::uint32_t chargeOf(const NodeId &peer, const UpstreamId &upstream,
                           std::uint32_t slots) const;
    /// Returns the slots charged for all peers there. Complexity: linear in the nodes.
    std::uint32_t chargeAt(const UpstreamId &upstream, std::uint32_t slots) const;

private:
    struct Peer
    {
        std::uint64_t m_incarnation = 0;
        InFlightByUpstream m_inFlight;
        TimePoint m_receivedAt{};
        bool m_isStale = true;
    };

    std::uint32_t rankOf(std::size_t node, const UpstreamId &upstream) const;
    std::uint32_t chargeOf(std::size_t node, const UpstreamId &upstream, std::uint32_t slots) const;

    NodeId m_self;
    SlotShareSettings m_settings;
    Duration m_maxAge;
    /// Sorted by name.
    std::vector<NodeId> m_nodes;
    std::size_t m_ownIndex = 0;
    std::map<NodeId, Peer> m_peers;
};

} // namespace gypsumdale
