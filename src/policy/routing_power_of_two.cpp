#include <gypsumdale/policy/routing.hpp>

#include "policy/detail/routing_filter.hpp"

namespace gypsumdale {

std::optional<UpstreamId> PowerOfTwo::choose(const RoutingRequest &request,
                                             std::span<const Candidate> candidates, TimePoint,
                                             pcg32 &random)
{
    const detail::CandidatePointers left = detail::eligibleCandidates(request, candidates);
    if (left.empty())
        return std::nullopt;
    const auto count = static_cast<std::uint32_t>(left.size());
    const std::uint32_t first = random(count);
    if (count == 1)
        return left[first]->m_upstream;
    const std::uint32_t second = (first + 1 + random(count - 1)) % count;
    const bool isFirstBetter =
            detail::relativeLoad(*left[first]) <= detail::relativeLoad(*left[second]);
    return left[isFirstBetter ? first : second]->m_upstream;
}

namespace {

const Registration<RoutingPolicy, RoutingSettings> registration{"power-of-two",
                                                                [](const RoutingSettings &) {
                                                                    return PowerOfTwo{};
                                                                }};

} // namespace

} // namespace gypsumdale
