#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/entry/message_age.hpp>
#include <gypsumdale/serving/retry_history.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

class FrameChannel;

/// A peer's report about itself in each exchange.
struct PeerState
{
    DataCentreId m_dataCentre;
    std::int64_t m_incarnation = 0;
    std::int64_t m_configVersion = 0;
    std::int64_t m_upstreamRevision = 0;
    bool m_isUpstreamListStale = false;
    bool m_isStoreLost = false;
    bool m_isLeaving = false;
    /// Unset if the peer doesn't tell.
    std::optional<RetryHistory> m_retries;
};

/// What this VM knows of another VM.
struct KnownPeer
{
    std::string m_node;
    std::string m_address;
    /// Used by whoever exchanges with the peer; the table only stores it.
    std::shared_ptr<FrameChannel> m_channel;
    PeerState m_state;
    LastPeerTimestamp m_mark;
    SupersededFilter m_newestDigest;
    /// What the peer's current process has reported, and what the one before it had.
    std::optional<EarlierRetries> m_retries;
    std::optional<EarlierRetries> m_earlierRetries;
    TimePoint m_lastReceivedAt{};
    TimePoint m_knownSince{};
    /// Time of the last exchange that this VM initiated as a regular one.
    TimePoint m_begunAt{};
    /// Time of the first message received from the peer's current process.
    TimePoint m_processFirstReceivedAt{};
    bool m_isSeed = false;
    bool m_isBusy = false;
    bool m_isSilent = false;

    bool hasEverReported() const { return m_lastReceivedAt != TimePoint{}; }
};

using KnownPeerPointer = std::shared_ptr<KnownPeer>;

/// Returns up to count peers, beginning at position first and wrapping around at the end.
/// Complexity: linear in the number of peers returned.
std::vector<KnownPeerPointer> wrappedSlice(const std::vector<KnownPeerPointer> &peers,
                                           std::size_t first, std::size_t count);

/// The other VMs that this one knows. Those from which a message was received within half a minute
/// are live peers and count as part of the fleet.
class PeerTable
{
public:
    explicit PeerTable(std::string ownAddress)
        : m_ownAddress(std::move(ownAddress))
    {}

    const std::string &ownAddress() const { return m_ownAddress; }

    /// Adds a peer at an address, unless it is known. Returns the added peer, otherwise nothing.
    /// Complexity: logarithmic in the number of peers.
    KnownPeerPointer learn(const std::string &node, const std::string &address, bool isSeed,
                           TimePoint now);

    /// Records a peer's report. Returns whether the peer had been silent before. Complexity:
    /// constant.
    static bool recordReceived(KnownPeer &peer, const PeerState &state, TimePoint now);

    struct SilentPeer
    {
        KnownPeerPointer m_peer;
        Duration m_silence{};
    };
    /// Peers that are silent.
    struct Silence
    {
        std::vector<SilentPeer> m_newlySilent;
        /// Peers that count as replaced. Seeds among them are still called.
        std::vector<KnownPeerPointer> m_gone;
    };
    /// Marks newly silent peers, and removes those that count as replaced. Complexity: linear in
    /// the number of peers.
    Silence expire(TimePoint now);

    /// Returns whether a peer is live, so that it counts as part of the fleet.
    static bool isLivePeer(const KnownPeer &peer, TimePoint now);
    bool isLivePeer(const std::string &address, TimePoint now) const;
    /// Returns the number of live peers. Complexity: linear in the number of peers.
    std::size_t livePeers(TimePoint now) const;
    /// Sets the number of VMs that the fleet should have until messages from them can have been
    /// received; 0 from then on.
    void setExpected(std::size_t vms) { m_expectedVms = vms; }
    /// Returns the pacing for the number of live or expected peers. Complexity: linear in the
    /// number of peers.
    ExchangePacing pace(TimePoint now) const;

    /// Returns the live peers that are not silent. Complexity: linear in the number of peers.
    std::vector<KnownPeerPointer> respondingPeers(TimePoint now) const;
    /// Returns the peers from which a message was received within the silence limit of the fleet.
    /// Complexity: linear in the number of peers.
    std::vector<KnownPeerPointer> recentPeers(TimePoint now) const;
    /// Returns the named peers that aren't shutting down and from which a message was received
    /// within a time, or that became known within it. Complexity: linear in the number of peers.
    std::vector<KnownPeerPointer> peersHeardWithin(Duration time, TimePoint now) const;
    /// Returns the longest time for which a live peer has sent nothing. Peers that are shutting
    /// down are ignored. Complexity: linear in the number of peers.
    Duration longestSilence(TimePoint now) const;

    /// Returns the peers with which this VM is to initiate an exchange. Complexity: linear in the
    /// number of peers.
    std::vector<KnownPeerPointer> duePeers(TimePoint now) const;
    /// Selects the peers to exchange with now, and records that. In a large fleet it selects an
    /// equal share each time, as exchanging with half of the fleet at once would delay the requests
    /// of callers. Complexity: linear in the number of peers, plus a sort of those that are due.
    std::vector<KnownPeerPointer> selectDuePeers(TimePoint now);
    /// Returns up to count peers without a pending exchange, different ones at each call.
    std::vector<KnownPeerPointer> selectOutOfTurn(std::size_t count);

    /// Returns the peer at an address, or nothing. Complexity: logarithmic in the number of peers.
    KnownPeerPointer find(const std::string &address) const;
    const std::map<std::string, KnownPeerPointer> &peers() const { return m_peers; }

private:
    bool initiates(const KnownPeer &peer, Duration silence, TimePoint now) const;

    std::string m_ownAddress;
    /// By address.
    std::map<std::string, KnownPeerPointer> m_peers;
    std::size_t m_nextOutOfTurn = 0;
    std::size_t m_expectedVms = 0;
};

} // namespace gypsumdale
