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

/// An IP number and a port, written "127.0.0.1:8080" or "[::1]:8080".
struct Address
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    bool isEmpty() const { return m_ip.empty(); }
    friend bool operator==(const Address &, const Address &) = default;
};

/// Another entry VM of the fleet, as the settings know it.
struct SeedPeer
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Address m_address;
};

/// An upstream that the settings name, for a fleet without a cloud list.
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
    /// Whether it refuses an order with an old fencing number.
    bool m_checksFence = false;
};

/// How often a node does what it does by the clock.
struct ControlIntervals
{
    Duration m_heartbeat = std::chrono::milliseconds(200);
    /// A peer that has been silent for this long is suspected.
    Duration m_suspectAfter = std::chrono::milliseconds(1000);
    Duration m_probe = std::chrono::milliseconds(500);
    /// How long one watch of the platform waits.
    Duration m_watch = std::chrono::seconds(3);
    /// The longest wait for an answer of the platform.
    Duration m_platformTimeout = std::chrono::seconds(2);
};

/// A secret, written down or in a file. Exactly one of the two is set.
struct SecretSource
{
    std::string m_inline;
    std::string m_file;

    bool isEmpty() const { return m_inline.empty() && m_file.empty(); }
};

/// The settings of one process, read from its file at start.
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
    /// Unset where no cloud serves the fleet.
    std::optional<Address> m_cloud;
    /// Every other entry VM; the same list, less the node itself, on all of them.
    std::vector<SeedPeer> m_peers;
    /// SHA-256 of the operators' credentials in lower-case hexadecimal.
    std::vector<std::string> m_operatorHashes;
    /// The secret by which nodes know each other.
    SecretSource m_peerSecret;
    LogLevel m_logLevel = LogLevel::Info;
    ControlIntervals m_intervals;
    /// Logs of claims that the keys of once requests are split into; the same on all nodes.
    int m_onceShards = 16;
    std::vector<StaticUpstream> m_upstreams;
};

/// Reads one process's settings whole; see checkProfile. Files that it names are not opened.
Checked<NodeSettings> checkNodeSettings(std::string_view text, const std::string &document);

KeyReferences nodeSettingsReference();

} // namespace gypsumdale
