#pragma once

#include <gypsumdale/core/result.hpp>

#include <ledger_types.h>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Sets the checksum and writes the segment. Linear.
std::string encodeSegment(wire::LogSegment &segment);

/// Reads a segment and checks its checksum; fails with PeerMalformed. Linear.
Result<wire::LogSegment> decodeSegment(std::string_view body);

/// Names a segment for the one that follows it.
std::string segmentIdentity(const wire::LogSegment &segment);

} // namespace gypsumdale::detail
