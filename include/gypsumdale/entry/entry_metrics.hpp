#pragma once

#include <gypsumdale/observe/metrics.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

/// For how many accounts and routes an entry process has series of their own.
constexpr MetricsLimits entryMetricsLimits{16, 12};

/// The page of an entry process with all of them in use stays below this, at names of up to 9
/// characters and counts of seven digits: a twentieth of a second of a link of 10 Mbit/s.
constexpr std::size_t maxEntryMetricsPageBytes = std::size_t{64} * 1024;

} // namespace gypsumdale
