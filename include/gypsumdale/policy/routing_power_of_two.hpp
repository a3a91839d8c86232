#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>

#include <pcg_random.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Compares two upstreams drawn at random and takes the less loaded, so that nodes with the same
/// old reports spread over the fleet.
class PowerOfTwo
{
public:
    std::optional<UpstreamId> choose(const RoutingRequest &request,
                                     std::span<const Candidate> candidates, TimePoint now,
                                     pcg32 &random);
    void dispatched(const UpstreamId &, const RoutingRequest &, TimePoint) {}
    void cacheEvent(const CacheEvent &, TimePoint) {}
    void forget(const UpstreamId &) {}
};

} // namespace gypsumdale
