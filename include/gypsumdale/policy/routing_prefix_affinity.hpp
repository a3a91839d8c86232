#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>
#include <gypsumdale/policy/prefix_cache_index.hpp>
#include <gypsumdale/policy/routing_settings.hpp>

#include <pcg_random.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Scores upstreams by the prompt tokens in their cache, their load, price, reclaim risk and
/// failures, all in seconds of first-token time. Selects the best of those that hold the prefix and
/// a few random ones.
class PrefixAffinity
{
public:
    explicit PrefixAffinity(RoutingSettings settings = {});

    std::optional<UpstreamId> choose(const RoutingRequest &request,
                                     std::span<const Candidate> candidates, TimePoint now,
                                     pcg32 &random);
    void dispatched(const UpstreamId &upstream, const RoutingRequest &request, TimePoint now);
    void cacheEvent(const CacheEvent &event, TimePoint now);
    void forget(const UpstreamId &upstream);

    /// Returns the score of a candidate in seconds; lower is better. Complexity: linear in the
    /// prompt's blocks.
    double score(const RoutingRequest &request, const Candidate &candidate, TimePoint now) const;

private:
    RoutingSettings m_settings;
    PrefixCacheIndex m_cacheIndex;
};

} // namespace gypsumdale
