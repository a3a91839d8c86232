#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/entry/message_age.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <memory> // shared_ptr
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

class FrameChannel;

/// What a peer says of itself in each exchange.
struct PeerState
{
    DataCentreId m_dataCentre;
    std::int64_t m_incarnation = 0;
    std::int64_t m_configVersion = 0;
    std::int64_t m_upstreamRevision = 0;
    bool m_isUpstreamListStale = false;
    bool m_isStoreLost = false;
    bool m_isLeaving = false;
};

/// What this VM knows of one other.
struct KnownPeer
{
    std::string m_node;
    std::string m_address;
    /// For whoever exchanges with it; the table only keeps it.
    std::shared_ptr<FrameChannel> m_channel;
    PeerState m_state;
    LastPeerTimestamp m_mark;
    SupersededFilter m_newestDigest;
    TimePoint m_lastReceivedAt{};
    TimePoint m_knownSince{};
    /// When this VM last began an exchange with it in its turn.
    TimePoint m_begunAt{};
    /// When this process of it was first heard.
    TimePoint m_processFirstReceivedAt{};
    bool m_isSeed = false;
    bool m_isBusy = false;
    bool m_isSilent = false;

    bool hasEverReported() const { return m_lastReceivedAt != TimePoint{}; }
};

using KnownPeerPointer = std::shared_ptr<KnownPeer>;

/// Returns up to so many of some peers, from a place on that wraps around. Linear in those
/// returned.
std::vector<KnownPeerPointer> wrappedSlice(const std::vector<KnownPeerPointer> &peers,
                                           std::size_t first, std::size_t count);

/// The other VMs that this one knows, and who of them belongs to the fleet: those that were heard
/// within half a minute.
class PeerTable
{
public:
    explicit PeerTable(std::string ownAddress)
        : m_ownAddress(std::move(ownAddress))
    {}

    const std::string &ownAddress() const { return m_ownAddress; }

    /// Takes in an address that was told. Returns the peer if it wasn't known before, otherwise
    /// nothing. Logarithmic in the peers.
    KnownPeerPointer learn(const std::string &node, const std::string &address, bool isSeed,
                           TimePoint now);

    /// Notes what a peer said. Returns whether it had been silent before. Constant.
    static bool recordReceived(KnownPeer &peer, const PeerState &state, TimePoint now);

    struct SilentPeer
    {
        KnownPeerPointer m_peer;
        Duration m_silence{};
    };
    /// Peers that have not been heard.
    struct Silence
    {
        std::vector<SilentPeer> m_newlySilent;
        /// Those replaced by now. Seeds among them are still called.
        std::vector<KnownPeerPointer> m_gone;
    };
    /// Marks those that fell silent and takes out those that are gone. Linear in the peers.
    Silence expire(TimePoint now);

    /// Tells whether a peer was heard lately enough to count as part of the fleet.
    static bool isLivePeer(const KnownPeer &peer, TimePoint now);
    bool isLivePeer(const std::string &address, TimePoint now) const;
    /// Returns the number of peers that are part of the fleet. Linear in the peers.
    std::size_t livePeers(TimePoint now) const;
    /// Takes in how many VMs the fleet should have, until they could be heard; 0 from then on.
    void setExpected(std::size_t vms) { m_expected = vms; }
    /// Returns the pace for the peers that are heard or expected. Linear in the peers.
    ExchangePacing pace(TimePoint now) const;

    /// Returns the members that don't count as silent. Linear in the peers.
    std::vector<KnownPeerPointer> respondingPeers(TimePoint now) const;
    /// Returns those heard just now, at the pace of the fleet. Linear in the peers.
    std::vector<KnownPeerPointer> recentPeers(TimePoint now) const;
    /// Returns for how long the member that said its last word first has been silent; nothing is
    /// expected of one that left. Linear in the peers.
    Duration longestSilence(TimePoint now) const;

    /// Returns those with whom it is this VM's turn to begin an exchange. Linear in the peers.
    std::vector<KnownPeerPointer> duePeers(TimePoint now) const;
    /// Returns those of them to begin with at this exchange time, and notes that: in a large fleet
    /// as many each time, so that a VM never exchanges with half of the fleet at one moment and
    /// keeps its callers waiting. Linear in the peers, and sorts those that are due.
    std::vector<KnownPeerPointer> selectDuePeers(TimePoint now);
    /// Returns up to so many that are not asked yet, others at each call.
    std::vector<KnownPeerPointer> selectOutOfTurn(std::size_t count);

    /// Returns the peer at an address, or nothing. Logarithmic in the peers.
    KnownPeerPointer find(const std::string &address) const;
    const std::map<std::string, KnownPeerPointer> &peers() const { return m_peers; }

private:
    bool begins(const KnownPeer &peer, Duration silence, TimePoint now) const;

    std::string m_ownAddress;
    /// By address.
    std::map<std::string, KnownPeerPointer> m_peers;
    std::size_t m_nextAsked = 0;
    std::size_t m_expected = 0;
};

} // namespace gypsumdale
