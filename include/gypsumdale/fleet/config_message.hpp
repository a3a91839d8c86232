#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/fleet/config_object.hpp>
#include <gypsumdale/fleet/node.hpp>

#include <cstdint> // uint64_t
#include <string_view> // string_view

namespace gypsumdale {

/// What a node knows of the configuration, small enough for each heartbeat.
struct ConfigDigest
{
    /// The node knows the platform's configuration as of this version of the store; 0 means that it
    /// has read none yet.
    ConfigVersion m_completeTo = 0;
    /// Hash over kind, name and version of all objects that are not deleted, and their count.
    std::uint64_t m_hash = 0;
    std::uint64_t m_count = 0;
    /// Highest version among them.
    ConfigVersion m_highest = 0;
    /// Highest version that any node of the sender's data centre has put in force, as far as the
    /// sender knows.
    ConfigVersion m_floor = 0;
    /// Time, by the clock of the relay that read the platform, at which the platform is known to
    /// have had nothing newer. 0 means unknown.
    WallMillis m_confirmedAsOf = 0;
    /// Whether the node knows at least what its former incarnations had in force.
    bool m_ready = false;
};

/// A digest with its sender.
struct ConfigDigestFrom
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    ConfigDigest m_digest;
};

/// Requests every change after a version; 0 requests everything.
struct ConfigAsk
{
    NodeId m_node;
    DataCentreId m_dataCentre;
    Incarnation m_incarnation = 0;
    ConfigVersion m_from = 0;
};

/// Changes after `m_from` up to `m_upTo`, deletions included. With `m_from` 0 it is a snapshot: an
/// object missing in it didn't exist at `m_upTo`.
struct ConfigChanges
{
    ConfigVersion m_from = 0;
    ConfigVersion m_upTo = 0;
    ConfigObjects m_objects;
};

/// Changes from a peer, either as an answer to a ConfigAsk or unrequested.
struct ConfigUpdate
{
    ConfigDigestFrom m_sender;
    ConfigChanges m_changes;
    /// Node that asked and its incarnation, for an answer; empty and 0 for unrequested changes.
    NodeId m_answerTo;
    Incarnation m_answerToIncarnation = 0;
};

} // namespace gypsumdale
