#pragma once

#include <algorithm> // clamp
#include <chrono> // hours, milliseconds
#include <cstdint> // int64_t

namespace gypsumdale {

/// Longer than any client waits, and than any count is kept. A longer time is not from a VM, and
/// would overflow.
inline constexpr std::chrono::milliseconds maxAge = std::chrono::hours(1);

/// Returns a time that a peer sent, within what a VM may mean.
inline std::chrono::milliseconds withinLimit(std::int64_t millis)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(millis, 0, maxAge.count()));
}

} // namespace gypsumdale
