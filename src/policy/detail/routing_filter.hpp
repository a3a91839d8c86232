#pragma once

#include <gypsumdale/policy/candidate.hpp>

#include <span> // span
#include <vector> // vector

namespace gypsumdale::detail {

using CandidatePointers = std::vector<const Candidate *>;

/// Leaves the candidates that a policy may choose from: none that is leaving, none that was tried
/// unless there is no other, and the nearest circle (data centre, region, anywhere) in which some
/// candidate has a free slot and is likely to meet the first-token target. Linear.
CandidatePointers eligibleCandidates(const RoutingRequest &request,
                                     std::span<const Candidate> candidates);

/// Returns the load of an upstream by its slots; 1 means full. Failures count as load. Constant.
double relativeLoad(const Candidate &candidate);

} // namespace gypsumdale::detail
