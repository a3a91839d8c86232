#pragma once

#include <gypsumdale/core/clock.hpp>

#include <string> // string

namespace gypsumdale {

/// Writes a time of day as people and log tools read it: "2026-12-02T18:44:13.072Z". Constant.
std::string toUtcText(WallMillis at);

} // namespace gypsumdale
