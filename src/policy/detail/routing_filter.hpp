#pragma once

#include <gypsumdale/policy/candidate.hpp>

#include <span> // span
#include <vector> // vector

namespace gypsumdale::detail {

using CandidatePointers = std::vector<const Candidate *>;

/// Returns the candidates that a policy may select. Excludes those that are leaving, and those
/// tried before unless there is no other. Of the rest, returns those in the nearest scope (data
/// centre, region, anywhere) in which some candidate has a free slot and is likely to meet the
/// first-token target. Complexity: linear.
CandidatePointers eligibleCandidates(const RoutingRequest &request,
                                     std::span<const Candidate> candidates);

/// Returns the load of an upstream relative to its slots; 1 means full. Failures add to the load.
/// Complexity: constant.
double relativeLoad(const Candidate &candidate);

} // namespace gypsumdale::detail
