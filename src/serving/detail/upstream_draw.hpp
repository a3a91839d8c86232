#pragma once

#include <gypsumdale/serving/upstream_pool.hpp>

#include <vector> // vector

/// Random selection among upstreams while the other VMs' reports are old.
namespace gypsumdale::detail {

/// Cost that rules out an upstream that failed while another is available.
constexpr double avoidedCost = 1e9;

/// Returns a number above 0 and up to 1 that is specific to the upstream and the request.
double drawFor(const PooledUpstream &upstream, const PlacementRequest &request);

/// Draws an upstream of a plain service with a probability inversely proportional to its load, so
/// that reports count, but not all VMs select the same upstream at once.
PooledUpstreamPointer drawByLoad(const std::vector<PooledUpstreamPointer> &candidates,
                                 const PlacementRequest &request, TimePoint now);

/// Draws two upstreams regardless of their data centre and returns the less loaded one; of equal
/// ones, the one in the request's data centre. This VM's placements since `reportedSince` count as
/// load, as the other VMs' reports don't show what they do there. Complexity: linear.
PooledUpstreamPointer drawLessLoadedOfTwo(const std::vector<PooledUpstreamPointer> &candidates,
                                          const PlacementRequest &request, TimePoint reportedSince,
                                          TimePoint now);

} // namespace gypsumdale::detail
