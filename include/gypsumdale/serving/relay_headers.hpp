#pragma once

#include <string_view> // string_view

/// Names of the headers of requests that one VM relays for another, and of their answers. They are
/// hop-by-hop: neither callers nor upstreams see them.
namespace gypsumdale::relay_headers {

/// Configuration version by which the sender has matched the request.
inline constexpr std::string_view configVersion = "Relay-Config-Version";
/// Why the receiver did not take the request. It has not run.
inline constexpr std::string_view refused = "Relay-Refused";
/// Attempts at upstreams that arrived before the receiver passed the request back. All of them were
/// rejected.
inline constexpr std::string_view arrived = "Relay-Arrived";

/// Service and software version at which a stream began: where the receiver must go on with it, or,
/// in an answer, where its events come from.
inline constexpr std::string_view originService = "Relay-Origin-Service";
inline constexpr std::string_view originVersion = "Relay-Origin-Version";

/// The upstream's process that gave an answer: its id, and its start as a wall time in
/// milliseconds.
inline constexpr std::string_view upstream = "Relay-Upstream";
inline constexpr std::string_view upstreamStart = "Relay-Upstream-Start";

} // namespace gypsumdale::relay_headers
