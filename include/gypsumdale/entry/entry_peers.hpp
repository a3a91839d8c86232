#pragma once

#include <gypsumdale/entry/crash_exchange.hpp>
#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_texts.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/exchange_writer.hpp>
#include <gypsumdale/entry/fleet_size_estimate.hpp>
#include <gypsumdale/entry/origin_exchange.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/entry/quota_exchange.hpp>
#include <gypsumdale/entry/rollout_client.hpp>
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

/// Exchanges state with every other entry VM. Of each pair, the VM with the lower address initiates
/// the exchange; the other one does only if it receives nothing. Peers are found through the seeds,
/// the store's registry and the peer lists of other VMs.
class EntryPeers
{
public:
    EntryPeers(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams);
    ~EntryPeers();

    /// Opens the listening address for peers.
    Result<Done> listen();

    /// Exchanges at regular intervals until the process stops. Runs in a fiber of its own.
    void run();

    /// Starts an exchange with all peers at once, after a version was adopted. In a large fleet it
    /// does nothing.
    void announceToAll();

    /// Tells peers of retries before the next regular exchange, a few of them in a large fleet. Two
    /// such reports keep a distance.
    void reportRetries();

    /// Fetches the current state of the traffic thread as the report to send from now on.
    void collectReport();
    /// Sends the peers the final counts of this process before it ends, when its regular exchanges
    /// are over: in a large fleet to the holder of the duties and a few others, otherwise to all.
    /// Doesn't wait.
    void sendFinalReport();
    /// Waits until the peers have received the final report, or until the given time.
    void awaitFinalReport(TimePoint end);

    /// Adds the VM at a reported address, unless it is known.
    void learn(const std::string &node, const std::string &address, bool isSeed);
    /// Sets the number of VMs in the registry.
    void setRegistered(std::size_t vms);
    /// Returns whether the VM at an address is a live peer, so that it counts as part of the fleet.
    bool isLivePeer(const std::string &address) const
    {
        return m_table.isLivePeer(address, m_context.now());
    }
    const std::string &ownAddress() const { return m_table.ownAddress(); }

    /// Sets the fence and the stored revision under which this VM holds the duties; 0 if it
    /// doesn't.
    void setDuty(std::int64_t fence, std::int64_t revision) { m_writer.setDuty(fence, revision); }
    bool holdsDuty() const { return m_writer.holdsDuty(); }
    using DutyReported = std::function<void(std::int64_t fence, std::int64_t revision)>;
    void onDutyReported(DutyReported callback) { m_dutyReported = std::move(callback); }

    /// Sends this VM's load at an upstream to all responding peers. A peer that doesn't answer
    /// isn't asked again, as the next exchange brings the load.
    void announceLoad(const UpstreamId &upstream, InFlightLoad load);

    /// Returns the part that exchanges where streams began.
    OriginExchange &origins() { return m_origins; }
    /// Returns the part that finds out which requests crash their upstreams.
    CrashExchange &crashes() { return m_crashes; }
    /// Returns the part that learns on which versions requests may be placed.
    RolloutClient &rollouts() { return m_rollouts; }
    /// Returns the part that decides quotas with their owners.
    QuotaExchange &quotas() { return m_quotas; }
    /// Returns the address of the peer that last told that it holds the duties.
    const std::string &holderAddress() const { return m_holderAddress; }

    /// Called with a store update, and with a time after which it was sent if that is known.
    /// Returns what this VM still needs.
    using StoreUpdateReceived = std::function<entrywire::StoreNewsTaken(
            const entrywire::StoreNews &, std::optional<TimePoint> sentAfter)>;
    void onStoreUpdate(StoreUpdateReceived callback)
    {
        m_storeUpdateReceived = std::move(callback);
    }
    /// Stamps a message so that its receiver can compute its age, sends it to a peer, and waits for
    /// the answer. Errors: those of the channel, and PeerMalformed, which is logged.
    Result<entrywire::EntryExchange> ask(const KnownPeerPointer &peer,
                                         entrywire::EntryExchange &message, Duration timeout);
    /// Does the same over a separate connection, so that no other message waits behind the answer.
    Result<entrywire::EntryExchange> askForText(const KnownPeerPointer &peer,
                                                entrywire::EntryExchange &message);
    /// Returns a time after which a message was sent, if its stamp has an echo of this process.
    std::optional<TimePoint> sentAfter(const entrywire::EntryExchange &message) const;
    /// Returns the responding peers of the own data centre.
    std::vector<DataCentrePeer> dataCentrePeers() const;
    /// Returns whether the fleet is so large that exchanges are spread out.
    bool isLargeFleet() const { return pace().isSpreadOut(); }

    /// Returns the longest time for which a live peer has sent nothing.
    Duration longestSilence() const { return m_table.longestSilence(m_context.now()); }
    const TrafficReport &report() const { return m_writer.report(); }
    /// Returns the traffic exchanged with all peers, removed ones included. Complexity: linear in
    /// the number of peers.
    FrameTraffic traffic() const;

private:
    ExchangePacing pace() const { return m_table.pace(m_context.now()); }
    void publishFleetSize();
    void spawnExchange(const KnownPeerPointer &peer);
    void exchange(const KnownPeerPointer &peer);
    entrywire::EntryExchange digestFor(const KnownPeer *peer);
    std::vector<KnownPeerPointer> finalReportPeers() const;
    void expire();
    Result<entrywire::EntryExchange> decodeAnswer(const KnownPeerPointer &peer,
                                                  const Result<std::string> &reply);
    FrameAnswer answer(const std::string &frame);
    FrameAnswer answerText(const entrywire::EntryExchange &received);
    void applyMessage(const entrywire::EntryExchange &message);
    void recordTimestamp(KnownPeer &peer, const entrywire::EntryExchange &message);
    MessageStamp stampFor(const KnownPeer *peer) const;
    void applyLoad(const entrywire::LoadNews &news);
    void recordReceived(const entrywire::EntryExchange &message);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    std::optional<FrameServer> m_server;
    PeerTable m_table;
    FleetSizeEstimate m_fleetSize;
    ExchangeWriter m_writer;
    EntryTexts m_texts;
    OriginExchange m_origins;
    CrashExchange m_crashes;
    RolloutClient m_rollouts;
    QuotaExchange m_quotas;
    DutyReported m_dutyReported;
    StoreUpdateReceived m_storeUpdateReceived;
    /// Address of the peer that last reported holding the duties.
    std::string m_holderAddress;
    int m_pendingFinalReports = 0;
    TimePoint m_collectedAt{};
    /// Traffic of closed channels.
    FrameTraffic m_closedChannelTraffic;
};

} // namespace gypsumdale
