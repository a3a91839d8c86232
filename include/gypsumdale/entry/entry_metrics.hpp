#pragma once

#include <gypsumdale/observe/metrics.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

/// Number of accounts and routes that have their own metric series in an entry process.
constexpr MetricsLimits entryMetricsLimits{16, 12};

/// Upper limit of the size in bytes of an entry process's metrics page with all series in use,
/// names of up to 9 characters and counts of seven digits. At 10 Mbit/s it takes about a twentieth
/// of a second to send.
constexpr std::size_t maxEntryMetricsPageBytes = std::size_t{64} * 1024;

} // namespace gypsumdale
