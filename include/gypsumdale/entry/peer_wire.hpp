#pragma once

#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/entry/peer_table.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
class UpstreamLoad;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Writes down what this VM has in flight at an upstream.
entrywire::UpstreamLoad encodeLoad(const UpstreamId &upstream, const InFlightLoad &load);
InFlightLoad loadOf(const entrywire::UpstreamLoad &told);

/// Writes down what the traffic thread reported last. Of the usage windows the last few are told.
void fillReport(const TrafficReport &report, entrywire::EntryDigest &digest);

/// Writes down what processes counted that ended, but not what the receiver counted itself.
void fillEnded(const std::vector<EndedProcessUsage> &ended, const std::string &receiver,
               entrywire::EntryDigest &digest);

/// Reads what a peer reported; its wall time is compared with this VM's.
PeerReport decodeReport(const entrywire::EntryDigest &digest, WallMillis ownWall);

/// Reads what a peer says of itself.
PeerState stateOf(const entrywire::EntryDigest &digest);

/// Write and read what a message carries so that its age can be told.
void writeStamp(const MessageStamp &stamp, entrywire::EntryExchange &message);
MessageStamp readStamp(const entrywire::EntryExchange &message);

} // namespace gypsumdale
