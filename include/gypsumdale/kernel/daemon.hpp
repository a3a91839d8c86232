#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/settings/node_settings.hpp>

namespace gypsumdale {

/// Runs the process until a graceful shutdown by SIGTERM, SIGINT, a reclaim notice or an operator
/// is complete. Fails at once if an address is in use or a secret can't be read. Returns the number
/// of requests that were cut off at the deadline.
Result<std::size_t> runDaemon(const NodeSettings &settings);

} // namespace gypsumdale
