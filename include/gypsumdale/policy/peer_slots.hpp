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

/// Requests in flight by upstream.
using InFlightByUpstream = std::map<UpstreamId, std::uint32_t>;

/// The live entry VMs of the data centre, this one among them, and what each of the others counts
/// for at an upstream: what it last reported, or its lent share while it is not heard.
class PeerSlots
{
public:
    PeerSlots(NodeId self, SlotShareSettings settings, Duration maxAge);

    /// This entry VM counts also if not named.
    void setNodes(std::vector<NodeId> nodes);
    std::uint32_t nodeCount() const { return static_cast<std::uint32_t>(m_nodes.size()); }

    /// This entry VM's place among those that slots of an upstream are shared out to. Constant.
    std::uint32_t ownRank(const UpstreamId &upstream) const { return rankOf(m_ownIndex, upstream); }

    /// Tells whether a heartbeat of this incarnation is one of a process before.
    bool isSuperseded(const NodeId &peer, std::uint64_t incarnation) const;
    /// Tells whether a peer was not heard lately, or never.
    bool isStale(const NodeId &peer) const;
    /// What a peer last reported; empty if nothing.
    InFlightByUpstream reportOf(const NodeId &peer) const;
    void merge(const NodeId &peer, std::uint64_t incarnation, InFlightByUpstream inFlight,
               TimePoint now);
    /// Holds for stale whom it did not hear for too long; true if there are new ones. Linear.
    bool markStalePeers(TimePoint now);

    /// What a peer counts for at an upstream with so many slots; 0 if it is not among the nodes.
    std::uint32_t chargeOf(const NodeId &peer, const UpstreamId &upstream,
                           std::uint32_t slots) const;
    /// What all peers count for there. Linear in the nodes.
    std::uint32_t chargeAt(const UpstreamId &upstream, std::uint32_t slots) const;

private:
    struct Peer
    {
        std::uint64_t m_incarnation = 0;
        InFlightByUpstream m_inFlight;
        TimePoint m_heardAt{};
        bool m_isStale = true;
    };

    std::uint32_t rankOf(std::size_t node, const UpstreamId &upstream) const;
    std::uint32_t chargeOf(std::size_t node, const UpstreamId &upstream, std::uint32_t slots) const;

    NodeId m_self;
    SlotShareSettings m_settings;
    Duration m_maxAge;
    /// In order of names.
    std::vector<NodeId> m_nodes;
    std::size_t m_ownIndex = 0;
    std::map<NodeId, Peer> m_peers;
};

} // namespace gypsumdale
