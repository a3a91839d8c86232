#pragma once

#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/membership.hpp>
#include <gypsumdale/fleet/upstream_table.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <peer_types.h>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::wire {

/// Encodes a request as the payload of one frame. Complexity: linear in its size.
std::string encodeRequest(const PeerRequest &request);
std::string encodeReply(const PeerReply &reply);

/// Decodes the payload of a frame. Fails with PeerMalformed on bytes that are not a message or
/// whose body is of an unknown kind, and with PeerRefused on another protocol version.
Result<PeerRequest> decodeRequest(std::string_view bytes);
Result<PeerReply> decodeReply(std::string_view bytes);

/// Creates the proof that a process holds the peers' credential: an HMAC-SHA256 over sender,
/// incarnation and time. Returns an empty string for an empty credential, with which no proof is
/// required.
std::string makeProof(std::string_view credential, const PeerRequest &request);

/// Returns whether a request proves the credential and was created within `skewMillis` of wallNow.
/// Compares in constant time.
bool isProofValid(std::string_view credential, const PeerRequest &request, WallMillis wallNow,
                  std::int64_t skewMillis);

/// Converts between the values of the decision logic and their form on the wire. An enumeration
/// value that is unknown to the receiver becomes the most conservative one. Complexity: linear in
/// the size of the value.
LeavingNotice toWire(const gypsumdale::LeavingNotice &notice);
gypsumdale::LeavingNotice fromWire(const LeavingNotice &notice);
DataCentreSummary toWire(const gypsumdale::DataCentreSummary &summary);
gypsumdale::DataCentreSummary fromWire(const DataCentreSummary &summary);
UpstreamObservation toWire(const gypsumdale::UpstreamObservation &observation);
gypsumdale::UpstreamObservation fromWire(const UpstreamObservation &observation);
/// Writes the membership part into a heartbeat, or reads it from one.
void writeMembership(const MembershipMessage &message, Heartbeat &heartbeat);
MembershipMessage readMembership(const Heartbeat &heartbeat);

} // namespace gypsumdale::wire
