#pragma once

#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/runtime/frame_channel.hpp>

#include <platform/duty_codec.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
class LoadNews;
class StoreNews;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// A peer in the own data centre.
struct NearPeer
{
    NodeId m_node;
    std::string m_address;
    std::shared_ptr<FrameChannel> m_channel;
    /// Whether it can read the store for others.
    bool m_mayRead = false;
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
    void tellAll();

    /// Registers this VM in the store and reads the others from there. Runs in a fiber of its own.
    void followRegistry();
    /// Takes this VM out of the store.
    void leaveRegistry();

    /// Says under which number and stored revision this VM holds the duties; 0 if it doesn't.
    void setDuty(std::int64_t fence, std::int64_t revision)
    {
        m_dutyFence = fence;
        m_dutyRevision = revision;
    }
    using DutyHeard = std::function<void(std::int64_t fence, std::int64_t revision)>;
    void onDutyHeard(DutyHeard heard) { m_dutyHeard = std::move(heard); }

    /// Tells all peers of a small fleet what this VM has put on an upstream. Without an answer
    /// nothing is done: the next exchange brings it.
    void tellLoad(const UpstreamId &upstream, InFlightLoad load);

    /// Called with news of the store; returns whether this VM lacks more than it was told.
    using NewsHeard = std::function<bool(const entrywire::StoreNews &)>;
    void onNews(NewsHeard heard) { m_newsHeard = std::move(heard); }
    /// Returns the peers of the own data centre that were heard lately.
    std::vector<NearPeer> nearPeers() const;
    /// Tells whether exchanges are spread out for the size of the fleet.
    bool isLargeFleet() const { return stretch() > 1; }

    /// Tells whether every peer of the last seconds has been heard just now.
    bool hearsAll() const;
    const TrafficReport &report() const { return m_report; }
    std::size_t fleetSize() const;

private:
    struct Peer
    {
        std::string m_node;
        std::string m_address;
        DataCentreId m_dataCentre;
        std::shared_ptr<FrameChannel> m_channel;
        TimePoint m_heardAt{};
        TimePoint m_knownSince{};
        std::int64_t m_incarnation = 0;
        /// When this process of it was first heard.
        TimePoint m_startHeardAt{};
        std::int64_t m_configVersion = 0;
        std::int64_t m_upstreamRevision = 0;
        bool m_isUpstreamListStale = false;
        bool m_isStoreLost = false;
        bool m_isLeaving = false;
        bool m_isSeed = false;
        bool m_isBusy = false;
        bool m_isSilent = false;
    };

    void learn(const std::string &node, const std::string &address, bool isSeed);
    void exchange(const std::shared_ptr<Peer> &peer);
    bool begins(const Peer &peer) const;
    /// By how much exchanges are spread out for the size of the fleet; 1 in a small one.
    int stretch() const;
    void tellTraffic();
    bool isLearning() const;
    std::size_t expectedFleet() const;
    std::size_t members() const;
    bool isMember(const Peer &peer) const;
    bool takeRegistry(const platform::StoreListing &listing);
    void removeIfGone(const platform::NodeRecord &node);
    void exchangeAll();
    void exchangeSome();
    bool sendsConfigTo(const Peer &peer) const;
    void forgetSilent();
    void fillReport(entrywire::EntryDigest &digest) const;
    void fillEnded(const Peer &peer, entrywire::EntryDigest &digest) const;
    void fillPeers(entrywire::EntryDigest &digest) const;
    entrywire::EntryExchange message(const Peer *peer);
    std::string answer(const std::string &frame);
    void take(const entrywire::EntryExchange &message);
    void takeLoad(const entrywire::LoadNews &news);
    void hear(const entrywire::EntryDigest &digest);
    std::string ownAddress() const;

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    std::optional<FrameServer> m_server;
    /// By address.
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
    /// When an entry of the registry was last seen alive, by node.
    std::map<std::string, TimePoint> m_silentSince;
    /// VMs in the registry when it was last read.
    std::size_t m_registered = 0;
    TrafficReport m_report;
    TimePoint m_reportedAt{};
    std::int64_t m_dutyFence = 0;
    std::int64_t m_dutyRevision = 0;
    DutyHeard m_dutyHeard;
    NewsHeard m_newsHeard;
    TimePoint m_startedAt;
    std::size_t m_messages = 0;
    std::size_t m_nextAsked = 0;
};

} // namespace gypsumdale
