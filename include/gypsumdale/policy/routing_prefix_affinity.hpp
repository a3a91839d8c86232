#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>
#include <gypsumdale/policy/prefix_cache_index.hpp>
#include <gypsumdale/policy/routing_settings.hpp>

#include <pcg_random.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Weighs the prompt tokens that an upstream has in its cache against its load, price, reclaim risk
/// and failures, all in seconds of first-token time, and takes the best of the holders of the
/// prefix and a few drawn at random.
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

    /// Returns the score of a candidate in seconds; less is better. Linear in the prompt's blocks.
    double score(const RoutingRequest &request, const Candidate &candidate, TimePoint now) const;

private:
    RoutingSettings m_settings;
    PrefixCacheIndex m_memory;
};

} // namespace gypsumdale
