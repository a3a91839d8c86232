#pragma once

#include <gypsumdale/fleet/upstream_set.hpp>

#include <set> // set
#include <vector> // vector

namespace gypsumdale::detail {

/// Counts the lists that miss an upstream, and returns the upstreams that are now considered
/// unlisted. A single list that misses a VM is not enough; a list that may be truncated is ignored
/// for upstreams that answered after `answeredSince`. Complexity: linear.
std::vector<UpstreamEntry *> recordMissingVms(UpstreamSet &upstreams,
                                              const std::set<UpstreamId> &shown,
                                              TimePoint answeredSince);

} // namespace gypsumdale::detail
