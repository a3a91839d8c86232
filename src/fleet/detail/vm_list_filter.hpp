#pragma once

#include <gypsumdale/fleet/upstream_set.hpp>

#include <set> // set
#include <vector> // vector

namespace gypsumdale::detail {

/// Notes what the cloud's list no longer shows, and returns the upstreams of which it is believed:
/// these count as listed no longer. One list that misses a VM is not believed, nor one that comes
/// cut short, of upstreams that answered after `answeredSince`. Linear.
std::vector<UpstreamEntry *> recordMissingVms(UpstreamSet &upstreams,
                                              const std::set<UpstreamId> &shown,
                                              TimePoint answeredSince);

} // namespace gypsumdale::detail
