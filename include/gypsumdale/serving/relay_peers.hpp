#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint16_t, uint64_t
#include <map> // map
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// What a peer reports about requests that it can take from VMs that are cut off from upstreams.
struct RelayOffer
{
    DataCentreId m_dataCentre;
    std::string m_ip;
    /// Port for relayed requests; 0 if the peer takes none.
    std::uint16_t m_port = 0;
    /// Further relayed requests that it can take.
    int m_free = 0;
    /// Services that it is cut off from itself.
    std::set<ServiceId> m_cutOffServices;
};

/// Inputs of the selection of a peer.
struct RelayRequest
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    /// Peers that this request was sent to before.
    std::set<UpstreamId> m_excluded;
    /// Random number of this request.
    std::uint64_t m_draw = 0;
};

/// The peers that can relay requests to upstreams, as last reported. To the requests that pass
/// through it, a peer is an upstream like any other: with an id, an address and requests in flight.
class RelayPeers
{
public:
    /// Time for which a peer that failed or refused is not selected: several of its reports.
    static constexpr Duration avoidTime = std::chrono::seconds(1);

    /// Replaces a peer's offer. Complexity: logarithmic in the number of peers.
    void set(const std::string &node, const RelayOffer &offer);
    void remove(const std::string &node) { m_peers.erase(node); }

    /// Selects a peer that reaches the service, or returns nullptr if there is none. A peer of the
    /// own data centre is preferred, as traffic between data centres is paid for; of two random
    /// ones, the one that can take more requests. Complexity: linear in the number of peers.
    PooledUpstreamPointer choose(const RelayRequest &request, TimePoint now) const;

    /// Records that a peer could not be reached, broke off, or refused a request.
    static void avoid(PooledUpstream &peer, TimePoint now);

    /// Returns whether a peer takes further requests by its last report. One that stops or is full
    /// takes none. Complexity: logarithmic in the number of peers.
    bool isTaking(const UpstreamId &peer) const;

    /// Returns whether a VM at an IP address has reported as a peer. Complexity: linear in the
    /// number of peers.
    bool isPeerAddress(std::string_view ip) const;

    bool isEmpty() const { return m_peers.empty(); }

private:
    struct Peer
    {
        RelayOffer m_offer;
        PooledUpstreamPointer m_upstream;

        /// Returns the number of further requests that it can take, less those that this VM has
        /// sent since and that are still in flight.
        int free() const { return m_offer.m_free - m_upstream->m_own.m_running; }
    };
    using Candidates = std::vector<const Peer *>;

    static bool isCandidate(const Peer &peer, const RelayRequest &request, TimePoint now);

    std::map<std::string, Peer> m_peers;
};

} // namespace gypsumdale
