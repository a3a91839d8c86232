#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/log_level.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <chrono> // milliseconds, seconds
#include <cstdint> // uint16_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// IP address and port, written "127.0.0.1:8080" or "[::1]:8080".
struct Address
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    bool isEmpty() const { return m_ip.empty(); }
    friend bool operator==(const Address &, const Address &) = default;
};

/// Another entry VM of the fleet, as named in the settings.
struct SeedPeer
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Address m_address;
};

/// Upstream named in the settings, for a fleet without a cloud list.
struct StaticUpstream
{
    UpstreamId m_id;
    ServiceId m_service;
    DataCentreId m_dataCentre;
    Address m_address;
    VmId m_vm;
    std::string m_vmClass;
    int m_slots = 8;
    double m_pricePerHour = 0;
    bool m_reclaimable = true;
    /// Whether the upstream refuses an order with a superseded fencing number.
    bool m_checksFence = false;
};

/// Intervals and timeouts of a node's periodic work.
struct ControlIntervals
{
    Duration m_heartbeat = std::chrono::milliseconds(200);
    /// Time without a message after which a peer is suspected.
    Duration m_suspectAfter = std::chrono::milliseconds(1000);
    Duration m_probe = std::chrono::milliseconds(500);
    /// Maximum duration of one watch of the platform.
    Duration m_watch = std::chrono::seconds(3);
    /// Maximum wait for an answer of the platform.
    Duration m_platformTimeout = std::chrono::seconds(2);
};

/// Secret given as text or as the path of a file. Exactly one of the two is set.
struct SecretSource
{
    std::string m_inline;
    std::string m_file;

    bool isEmpty() const { return m_inline.empty() && m_file.empty(); }
};

/// Settings of one process, read from its file at startup.
struct NodeSettings
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    Address m_callerListen;
    Address m_adminListen;
    Address m_peerListen;
    int m_trafficThreads = 2;
    Address m_platform;
    /// Unset if the fleet uses no cloud.
    std::optional<Address> m_cloud;
    /// All other entry VMs. The list is the same on all nodes, except for the node itself.
    std::vector<SeedPeer> m_peers;
    /// SHA-256 of the operators' credentials in lower-case hexadecimal.
    std::vector<std::string> m_operatorHashes;
    /// Shared secret by which nodes authenticate each other.
    SecretSource m_peerSecret;
    LogLevel m_logLevel = LogLevel::Info;
    ControlIntervals m_intervals;
    /// Number of claim logs over which the keys of once requests are distributed; the same on all
    /// nodes.
    int m_onceShards = 16;
    std::vector<StaticUpstream> m_upstreams;
};

/// Reads and checks the settings of one process; see checkProfile. Does not open the files named in
/// them.
Checked<NodeSettings> checkNodeSettings(std::string_view text, const std::string &document);

KeyReferences nodeSettingsReference();

} // namespace gypsumdale
