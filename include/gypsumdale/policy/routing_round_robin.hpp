#pragma once

#include <gypsumdale/policy/cache_event.hpp>
#include <gypsumdale/policy/candidate.hpp>

#include <pcg_random.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <span> // span

namespace gypsumdale {

/// Selects the upstreams in turn, independent of their load. Serves as a baseline.
class RoundRobin
{
public:
    std::optional<UpstreamId> choose(const RoutingRequest &request,
                                     std::span<const Candidate> candidates, TimePoint now,
                                     pcg32 &random);
    void dispatched(const UpstreamId &, const RoutingRequest &, TimePoint) {}
    void cacheEvent(const CacheEvent &, TimePoint) {}
    void forget(const UpstreamId &) {}

private:
    std::uint64_t m_turn = 0;
};

} // namespace gypsumdale
