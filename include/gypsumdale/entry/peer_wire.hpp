#pragma once

#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/serving/crash_suspects.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::entrywire {
class EarlierRetries;
class EntryDigest;
class EntryExchange;
class Quarantine;
class RetryHistory;
class StreamOrigin;
class UpstreamEnd;
class UpstreamLoad;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Convert between an address and its text, such as "10.1.0.16:7500". A text without a port has
/// port 0.
Endpoint endpointOf(const std::string &address);
/// The same for an address of the settings.
Endpoint endpointOf(const Address &address);
std::string textOf(const Address &address);

/// Encodes this VM's load at an upstream.
entrywire::UpstreamLoad encodeLoad(const UpstreamId &upstream, const InFlightLoad &load);
InFlightLoad loadOf(const entrywire::UpstreamLoad &encoded);

/// Encodes the last report of the traffic thread into a digest. Of the usage windows only the last
/// few are included.
void fillReport(const TrafficReport &report, entrywire::EntryDigest &digest);

/// Encodes a few of a VM's estimates of upstream speeds into a digest, beginning at a position
/// that is wrapped around. Without any the field stays unset.
void fillSpeeds(const ObservedSpeeds &speeds, std::size_t first, entrywire::EntryDigest &digest);

/// Encodes the counts of ended processes into a digest, except those of the receiver's own process.
void fillEnded(const std::vector<EndedProcessUsage> &ended, const std::string &receiver,
               entrywire::EntryDigest &digest);

/// Encodes what this VM heard of upstreams that want fewer requests into a digest; of their rates
/// those heard last if there are too many. Without any the fields stay unset.
void fillBackpressure(const BackpressureReport &report, TimePoint now,
                      entrywire::EntryDigest &digest);
/// Decodes the same. Values that can't be meant are left out.
BackpressureReport decodeBackpressureReport(const entrywire::EntryDigest &digest, TimePoint now);

/// Decodes a peer's report. Its wall time is compared with this VM's.
PeerReport decodeReport(const entrywire::EntryDigest &digest, WallMillis ownWall);

/// Decodes a peer's report about itself, apart from its history of retries.
PeerState stateOf(const entrywire::EntryDigest &digest);

/// Encode and decode where a stream began. Its times travel as ages.
entrywire::StreamOrigin encodeOrigin(const StreamOriginRecord &record, TimePoint now);
StreamOriginRecord decodeOrigin(const entrywire::StreamOrigin &origin, TimePoint now);

/// Encode and decode what a VM did within the window of the retry budget, as of now. The age of a
/// count travels in whole seconds and is rounded down.
entrywire::RetryHistory encodeRetries(const RetryHistory &history, TimePoint now);
RetryHistory decodeRetries(const entrywire::RetryHistory &history, TimePoint now);

/// Encode and decode what a VM knows of the receiver's earlier processes.
entrywire::EarlierRetries encodeEarlierRetries(const EarlierRetries &earlier, TimePoint now);
std::optional<EarlierRetries> decodeEarlierRetries(const entrywire::EntryDigest &digest,
                                                   TimePoint now);

/// Encode and decode an upstream's end. Its time travels as an age.
entrywire::UpstreamEnd encodeEnd(const UpstreamEnd &end, TimePoint now);
UpstreamEnd decodeEnd(const entrywire::UpstreamEnd &end, TimePoint now);

/// Encode and decode what may be the cause of an end.
std::vector<std::string> encodeElements(const CrashElements &elements);
CrashElements decodeElements(const std::vector<std::string> &elements);

/// Encode and decode what is rejected. Times travel as what remains of them.
std::vector<entrywire::Quarantine> encodeQuarantine(const std::vector<QuarantineEntry> &entries,
                                                    TimePoint now);
std::vector<QuarantineEntry> decodeQuarantine(const std::vector<entrywire::Quarantine> &entries,
                                              TimePoint now);

/// Encode and decode the fields of a message that allow its age to be computed.
void writeStamp(const MessageStamp &stamp, entrywire::EntryExchange &message);
MessageStamp readStamp(const entrywire::EntryExchange &message);

} // namespace gypsumdale
