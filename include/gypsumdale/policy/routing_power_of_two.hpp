#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>

#include <pcg_random.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Selects the less loaded of two random upstreams, so that nodes with the same old reports spread
/// their requests.
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
