#pragma once

#include <gypsumdale/fleet/peer_exchange.hpp>
#include <gypsumdale/kernel/control_context.hpp>

#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Last reported load of a peer: tokens served by member and requests in flight by upstream, both
/// absolute.
struct PeerLoad
{
    Incarnation m_incarnation = 0;
    std::map<MemberId, std::uint64_t> m_tokens;
    std::map<UpstreamId, std::uint32_t> m_inFlight;
};

/// Callbacks for changes in the fleet, called on the control loop.
struct FleetListeners
{
    std::function<void(const NodeStateChanged &)> m_nodeChanged;
    std::function<void(const UpstreamStateChanged &)> m_upstreamChanged;
    std::function<void(const ConfigDigestReceived &)> m_configSeen;
    std::function<void(const NodeId &, const PeerLoad &)> m_peerLoad;
    /// Called for a reclaim notice that concerns this node's VM or data centre.
    std::function<void(const LeavingNotice &)> m_ownNotice;
};

/// Drives PeerExchange: heartbeats, probes of upstreams, the cloud's VM list and notices. Used on
/// the control loop only.
class FleetDriver
{
public:
    explicit FleetDriver(ControlContext &context);

    void listen(FleetListeners listeners) { m_listeners = std::move(listeners); }

    /// Starts heartbeats, probes and reading from the cloud. Must be called in a fiber of the
    /// control loop.
    void start();

    wire::Heartbeat onHeartbeat(const NodeId &sender, const wire::Heartbeat &heartbeat);
    void onNotices(const NodeId &sender, const wire::LeavingNotices &notices);
    wire::LeavingNotices notices() const;

    /// Drains an upstream on an operator's request. Returns false if there is no upstream of that
    /// name.
    bool drainUpstream(const UpstreamId &upstream);
    void onRequestFailed(const UpstreamId &upstream, const std::string &reason);
    void onRequestSucceeded(const UpstreamId &upstream);

    PeerExchange &exchange() { return m_exchange; }
    const Membership &membership() const { return m_exchange.membership(); }
    const UpstreamTable &upstreams() const { return m_exchange.upstreams(); }

    /// Returns the address at which a node listens to its peers, if known.
    std::optional<NodeIdentity> find(const NodeId &node) const;

    /// Returns the upstream's entry in the settings, or null if only the cloud's list names it.
    const StaticUpstream *declared(const UpstreamId &upstream) const;

private:
    void run(const ExchangeCommands &commands);
    void execute(const SendToPeer &command);
    void execute(const NodeStateChanged &command);
    void execute(const OwnIncarnationRaised &command);
    void execute(const ProbeUpstream &command);
    void execute(const UpstreamStateChanged &command);
    void execute(const TokensReported &command);
    void execute(const ConfigDigestReceived &command);
    void probe(const ProbeUpstream &command);
    void applyInFlight(const NodeId &sender, const wire::Heartbeat &heartbeat);
    void runTicks();
    void readNotices();
    void readVmList();
    /// Returns the upstream on a VM: the one that the settings assign to the VM, or one with the
    /// VM's name.
    UpstreamId upstreamOn(const VmId &vm) const;
    void applyNotice(const LeavingNotice &notice);

    ControlContext &m_context;
    FleetListeners m_listeners;
    PeerExchange m_exchange;
    std::map<UpstreamId, StaticUpstream> m_staticUpstreams;
    std::map<std::int64_t, UpstreamId> m_upstreamOfKey;
    std::map<NodeId, PeerLoad> m_loads;
    std::int64_t m_lastNotice = 0;
};

} // namespace gypsumdale
