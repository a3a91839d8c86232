#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_texts.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/exchange_writer.hpp>
#include <gypsumdale/entry/fleet_size_estimate.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/runtime/frame_channel.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <functional> // function
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
class LoadNews;
class StoreNews;
class StoreNewsTaken;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// A peer in the own data centre.
struct DataCentrePeer
{
    NodeId m_node;
    KnownPeerPointer m_peer;
    /// Whether it can read the store for others.
    bool m_canReadStore = false;
};

/// Exchanges what VMs know with every other entry VM: of each pair the one with the lower address
/// begins, and the other only if it hears nothing. Finds peers by the seeds, the store and each
/// other's word.
class EntryPeers
{
public:
    EntryPeers(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams);
    ~EntryPeers();

    /// Opens the peers' address.
    Result<Done> listen();

    /// Exchanges by the clock until the process stops. Runs in a fiber of its own.
    void run();

    /// Tells all peers at once, after a version was adopted.
    void announceToAll();

    /// Takes what the traffic thread knows as the report that goes out from now on.
    void collectReport();
    /// Sends the peers what this VM counted last, as it is about to end and its exchanges are over:
    /// in a large fleet the holder of the duties and some more, otherwise all. Doesn't wait.
    void sendFinalReport();
    /// Waits until the peers have taken the farewell, but not longer than until the time given.
    void awaitFinalReport(TimePoint end);

    /// Takes in the address of a VM that was told of.
    void learn(const std::string &node, const std::string &address, bool isSeed);
    /// Takes in how many VMs the registry has.
    void setRegistered(std::size_t vms);
    /// Tells whether the VM at an address was heard lately enough to be part of the fleet.
    bool isLivePeer(const std::string &address) const
    {
        return m_table.isLivePeer(address, m_context.now());
    }
    const std::string &ownAddress() const { return m_table.ownAddress(); }

    /// Says under which number and stored revision this VM holds the duties; 0 if it doesn't.
    void setDuty(std::int64_t fence, std::int64_t revision) { m_writer.setDuty(fence, revision); }
    bool holdsDuty() const { return m_writer.holdsDuty(); }
    using DutyReported = std::function<void(std::int64_t fence, std::int64_t revision)>;
    void onDutyReported(DutyReported heard) { m_dutyHeard = std::move(heard); }

    /// Tells all peers what this VM has put on an upstream. Without an answer nothing is done: the
    /// next exchange brings it.
    void announceLoad(const UpstreamId &upstream, InFlightLoad load);

    /// Called with news of the store, and with a moment after which they were sent if that is
    /// known; returns what this VM lacks beyond that.
    using StoreUpdateReceived = std::function<entrywire::StoreNewsTaken(
            const entrywire::StoreNews &, std::optional<TimePoint> sentAfter)>;
    void onStoreUpdate(StoreUpdateReceived heard) { m_newsHeard = std::move(heard); }
    /// Stamps a message so that its receiver can tell its age, sends it to a peer, and waits for
    /// the answer. Errors: those of the channel, and PeerMalformed, which is logged.
    Result<entrywire::EntryExchange> ask(const KnownPeerPointer &peer,
                                         entrywire::EntryExchange &message, Duration timeout);
    /// The same over a connection of its own, so that nothing waits behind the answer.
    Result<entrywire::EntryExchange> askForText(const KnownPeerPointer &peer,
                                                entrywire::EntryExchange &message);
    /// Returns a moment after which a message was sent, if its stamp tells.
    std::optional<TimePoint> sentAfter(const entrywire::EntryExchange &message) const;
    /// Returns the peers of the own data centre that were heard lately.
    std::vector<DataCentrePeer> dataCentrePeers() const;
    /// Tells whether exchanges are spread out for the size of the fleet.
    bool isLargeFleet() const { return pace().isSpreadOut(); }

    /// Returns how long the VM of the fleet that was not heard for longest has been silent.
    Duration longestSilence() const { return m_table.longestSilence(m_context.now()); }
    const TrafficReport &report() const { return m_writer.report(); }
    /// Returns what was exchanged with all peers, those included that are gone. Linear in the
    /// peers.
    FrameTraffic traffic() const;

private:
    ExchangePacing pace() const { return m_table.pace(m_context.now()); }
    void tellTraffic();
    void spawnExchange(const KnownPeerPointer &peer);
    void exchange(const KnownPeerPointer &peer);
    std::vector<KnownPeerPointer> farewellPeers() const;
    void expire();
    Result<entrywire::EntryExchange> decodeAnswer(const KnownPeerPointer &peer,
                                                  const Result<std::string> &reply);
    FrameAnswer answer(const std::string &frame);
    FrameAnswer answerText(const entrywire::EntryExchange &received);
    void take(const entrywire::EntryExchange &message);
    void hearMark(KnownPeer &peer, const entrywire::EntryExchange &message);
    MessageStamp stampFor(const KnownPeer *peer) const;
    void takeLoad(const entrywire::LoadNews &news);
    void recordReceived(const entrywire::EntryExchange &message);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    std::optional<FrameServer> m_server;
    PeerTable m_table;
    FleetSizeEstimate m_fleetSize;
    ExchangeWriter m_writer;
    EntryTexts m_texts;
    DutyReported m_dutyHeard;
    StoreUpdateReceived m_newsHeard;
    /// Who said last that it holds the duties.
    std::string m_holderAddress;
    int m_farewellsUnderWay = 0;
    /// Of channels that were given up.
    FrameTraffic m_closedTraffic;
};

} // namespace gypsumdale
