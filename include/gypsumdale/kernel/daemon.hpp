#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/settings/node_settings.hpp>

namespace gypsumdale {

/// Runs one process of the system until it was shut down gracefully: by SIGTERM, SIGINT, a reclaim
/// notice or an operator. Fails at once if an address is taken or a secret can't be read. Returns
/// the number of requests that had to be cut at the deadline.
Result<std::size_t> runDaemon(const NodeSettings &settings);

} // namespace gypsumdale
