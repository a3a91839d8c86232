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

/// List all objects of configPlatformKind with bodies; answer with onPlatformList or
/// onPlatformFailed. At most one is out at a time.
struct ReadPlatform
{};

/// Watch configPlatformKind after the version; answer with onPlatformWatch, onPlatformTooOld or
/// onPlatformFailed. At most one is out at a time.
struct WatchPlatform
{
    ConfigVersion m_after = 0;
    Duration m_timeout{};
};

/// Send a ConfigAsk to a peer.
struct QueryPeer
{
    NodeId m_peer;
    ConfigAsk m_ask;
};

/// Send an update to a peer: an answer, or news that it hasn't asked for.
struct SendUpdate
{
    NodeId m_peer;
    ConfigUpdate m_update;
};

/// Send the digest now instead of with the next heartbeat.
struct SendDigest
{
    NodeId m_peer;
    ConfigDigestFrom m_digest;
};

/// Put an object in force, in place of its lower version. A deleted object ends.
struct PutInForce
{
    ConfigObject m_object;
    ConfigValue m_value;
};

/// A version was read that its checker refuses; the version in force, if any, stays. To be logged
/// and shown to operators.
struct BodyRefused
{
    ConfigKey m_key;
    ConfigVersion m_version = 0;
    Findings m_findings;
};

/// The node knows from now on that it has at least what its former lives had in force. All
/// PutInForce commands of the start stand before it.
struct ConfigReady
{
    std::string m_reason;
};

using ConfigCommand = std::variant<ReadPlatform, WatchPlatform, QueryPeer, SendUpdate, SendDigest,
                                   PutInForce, BodyRefused, ConfigReady>;
using ConfigCommands = std::vector<ConfigCommand>;

} // namespace gypsumdale
