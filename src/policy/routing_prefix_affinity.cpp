#include <gypsumdale/policy/routing.hpp>

#include "policy/detail/routing_filter.hpp"

#include <algorithm> // max, min
#include <chrono> // duration
#include <limits> // numeric_limits

namespace gypsumdale {

namespace {

constexpr double tokensPerRisk = 1000.0;

} // namespace

PrefixAffinity::PrefixAffinity(RoutingSettings settings)
    : m_settings(settings)
    , m_cacheIndex(settings.m_blocksPerUpstream, settings.m_prefixMaxAge)
{}

std::optional<UpstreamId> PrefixAffinity::choose(const RoutingRequest &request,
                                                 std::span<const Candidate> candidates,
                                                 TimePoint now, pcg32 &random)
{
    const detail::CandidatePointers left = detail::eligibleCandidates(request, candidates);
    if (left.empty())
        return std::nullopt;
    const Candidate *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    const auto consider = [&](const Candidate *one) {
        const double candidateScore = score(request, *one, now);
        if (candidateScore >= bestScore)
            return;
        best = one;
        bestScore = candidateScore;
    };
    const auto count = static_cast<std::uint32_t>(left.size());
    for (std::size_t draw = 0; draw < std::max<std::size_t>(m_settings.m_randomCandidates, 1);
         ++draw)
        consider(left[random(count)]);
    for (const Candidate *one : left) {
        if (m_cacheIndex.match(one->m_upstream, request.m_prefixBlocks, now) > 0)
            consider(one);
    }
    return best->m_upstream;
}

void PrefixAffinity::dispatched(const UpstreamId &upstream, const RoutingRequest &request,
                                TimePoint now)
{
    m_cacheIndex.recordBlocks(upstream, request.m_prefixBlocks, now);
}

void PrefixAffinity::cacheEvent(const CacheEvent &event, TimePoint now)
{
    if (event.m_isAfterGap)
        m_cacheIndex.halveLifetimes(event.m_upstream, now);
    m_cacheIndex.evict(event.m_upstream, event.m_evicted);
    m_cacheIndex.recordBlocks(event.m_upstream, event.m_added, now);
}

void PrefixAffinity::forget(const UpstreamId &upstream)
{
    m_cacheIndex.forget(upstream);
}

double PrefixAffinity::score(const RoutingRequest &request, const Candidate &candidate,
                             TimePoint now) const
{
    const std::size_t blocks =
            m_cacheIndex.match(candidate.m_upstream, request.m_prefixBlocks, now);
    const double cached = std::min(static_cast<double>(blocks * m_settings.m_blockTokens),
                                   static_cast<double>(request.m_promptTokens));
    const double prefill = (request.m_promptTokens - cached) / m_settings.m_prefillTokensPerSecond;
    const double step = toSeconds(m_settings.m_delayPerQueuedRequest);
    const double queueing = step * estimatedLoad(candidate);
    const double price = m_settings.m_priceWeight * candidate.m_pricePerHour;
    const double answer = request.m_expectedTokens / tokensPerRisk;
    const double reclaim = m_settings.m_reclaimWeight * candidate.m_reclaimRisk * answer;
    const double failures = m_settings.m_failureWeight * candidate.m_recentFailures;
    return prefill + queueing + price + reclaim + failures;
}

namespace {

const Registration<RoutingPolicy, RoutingSettings> registration{
        "prefix-affinity", [](const RoutingSettings &settings) {
            return PrefixAffinity(settings);
        }};

} // namespace

} // namespace gypsumdale
