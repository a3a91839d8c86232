#pragma once

#include <gypsumdale/core/clock.hpp>

#include <string> // string

namespace gypsumdale {

/// Formats a wall-clock time as an ISO 8601 text for people and log tools:
/// "2026-12-02T18:44:13.072Z". Complexity: constant.
std::string toUtcText(WallMillis at);

} // namespace gypsumdale
