#include <gypsumdale/policy/routing.hpp>

#include "policy/detail/routing_filter.hpp"

#include <algorithm> // min_element

namespace gypsumdale {

std::optional<UpstreamId> LeastOutstanding::choose(const RoutingRequest &request,
                                                   std::span<const Candidate> candidates, TimePoint,
                                                   pcg32 &)
{
    const detail::CandidatePointers left = detail::eligibleCandidates(request, candidates);
    if (left.empty())
        return std::nullopt;
    const auto best = std::min_element(
            left.begin(), left.end(), [](const Candidate *one, const Candidate *other) {
                return detail::relativeLoad(*one) < detail::relativeLoad(*other);
            });
    return (*best)->m_upstream;
}

namespace {

const Registration<RoutingPolicy, RoutingSettings> registration{"least-outstanding",
                                                                [](const RoutingSettings &) {
                                                                    return LeastOutstanding{};
                                                                }};

} // namespace

} // namespace gypsumdale
