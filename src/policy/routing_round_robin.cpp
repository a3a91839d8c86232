#include <gypsumdale/policy/routing.hpp>

#include "policy/detail/routing_filter.hpp"

namespace gypsumdale {

std::optional<UpstreamId> RoundRobin::choose(const RoutingRequest &request,
                                             std::span<const Candidate> candidates, TimePoint,
                                             pcg32 &)
{
    const detail::CandidatePointers left = detail::eligibleCandidates(request, candidates);
    if (left.empty())
        return std::nullopt;
    return left[m_turn++ % left.size()]->m_upstream;
}

namespace {

const Registration<RoutingPolicy, RoutingSettings> registration{"round-robin",
                                                                [](const RoutingSettings &) {
                                                                    return RoundRobin{};
                                                                }};

} // namespace

} // namespace gypsumdale
