#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/fleet/config_message.hpp>
#include <gypsumdale/fleet/config_object.hpp>

#include <string> // string
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Lists all objects of configPlatformKind with their bodies; answered with onPlatformList or
/// onPlatformFailed. At most one such call is in progress at a time.
struct ReadPlatform
{};

/// Watches configPlatformKind for changes after the version; answered with onPlatformWatch,
/// onPlatformTooOld or onPlatformFailed. At most one such call is in progress at a time.
struct WatchPlatform
{
    ConfigVersion m_after = 0;
    Duration m_timeout{};
};

/// Sends a ConfigAsk to a peer.
struct QueryPeer
{
    NodeId m_peer;
    ConfigAsk m_ask;
};

/// Sends an update to a peer, either as an answer or unrequested.
struct SendUpdate
{
    NodeId m_peer;
    ConfigUpdate m_update;
};

/// Sends the digest immediately instead of with the next heartbeat.
struct SendDigest
{
    NodeId m_peer;
    ConfigDigestFrom m_digest;
};

/// Puts an object in force, replacing its lower version. A deleted object is no longer in force.
struct PutInForce
{
    ConfigObject m_object;
    ConfigValue m_value;
};

/// Reports that a version was read that its checker refuses; the version in force, if any, remains.
/// To be logged and shown to operators.
struct BodyRefused
{
    ConfigKey m_key;
    ConfigVersion m_version = 0;
    Findings m_findings;
};

/// Reports that the node now knows at least what its former incarnations had in force. All
/// PutInForce commands of the start precede it.
struct ConfigReady
{
    std::string m_reason;
};

using ConfigCommand = std::variant<ReadPlatform, WatchPlatform, QueryPeer, SendUpdate, SendDigest,
                                   PutInForce, BodyRefused, ConfigReady>;
using ConfigCommands = std::vector<ConfigCommand>;

} // namespace gypsumdale
