#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>

#include <pcg_random.hpp>

#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Takes the upstream with the least load for its slots. All nodes that see the same old report
/// take the same one, so it herds when reports lag.
class LeastOutstanding
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
