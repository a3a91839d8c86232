#pragma once

#include <gypsumdale/core/result.hpp>

#include <ledger_types.h>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Sets the checksum and encodes the segment. Complexity: linear.
std::string encodeSegment(wire::LogSegment &segment);

/// Decodes a segment and verifies its checksum; fails with PeerMalformed. Complexity: linear.
Result<wire::LogSegment> decodeSegment(std::string_view body);

/// Returns the identity by which the next segment names this one.
std::string segmentIdentity(const wire::LogSegment &segment);

} // namespace gypsumdale::detail
