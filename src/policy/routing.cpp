#include <gypsumdale/policy/routing.hpp>

#include <xxhash.h>

#include <algorithm> // max
#include <variant> // visit

namespace gypsumdale {

std::uint32_t estimatedLoad(const Candidate &candidate)
{
    const std::uint32_t known = candidate.m_ownInFlight + candidate.m_peersInFlight;
    if (candidate.m_reportAge == Duration::max())
        return known;
    const std::uint32_t reported =
            candidate.m_reportedRunning + candidate.m_reportedQueued + candidate.m_ownSinceReport;
    return std::max(known, reported);
}

std::optional<UpstreamId> choose(RoutingPolicy &policy, const RoutingRequest &request,
                                 std::span<const Candidate> candidates, TimePoint now,
                                 pcg32 &random)
{
    return std::visit(
            [&](auto &alternative) { return alternative.choose(request, candidates, now, random); },
            policy);
}

void recordDispatch(RoutingPolicy &policy, const UpstreamId &upstream,
                    const RoutingRequest &request, TimePoint now)
{
    std::visit([&](auto &alternative) { alternative.dispatched(upstream, request, now); }, policy);
}

void applyCacheEvent(RoutingPolicy &policy, const CacheEvent &event, TimePoint now)
{
    std::visit([&](auto &alternative) { alternative.cacheEvent(event, now); }, policy);
}

void dropUpstreamState(RoutingPolicy &policy, const UpstreamId &upstream)
{
    std::visit([&](auto &alternative) { alternative.forget(upstream); }, policy);
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::size_t blockBytes)
{
    std::vector<std::uint64_t> result;
    if (blockBytes == 0)
        return result;
    std::uint64_t rolling = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        rolling = XXH3_64bits_withSeed(prompt.data() + at, blockBytes, rolling);
        result.push_back(rolling);
    }
    return result;
}

} // namespace gypsumdale
