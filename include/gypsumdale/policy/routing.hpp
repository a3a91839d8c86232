#pragma once

#include <gypsumdale/core/registry.hpp>
#include <gypsumdale/policy/candidate.hpp>
#include <gypsumdale/policy/routing_least_outstanding.hpp>
#include <gypsumdale/policy/routing_power_of_two.hpp>
#include <gypsumdale/policy/routing_prefix_affinity.hpp>
#include <gypsumdale/policy/routing_round_robin.hpp>
#include <gypsumdale/policy/routing_settings.hpp>

#include <pcg_random.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <span> // span
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// One way of choosing an upstream. Each alternative has the member functions choose(),
/// dispatched(), cacheEvent() and forget() as described at the free functions below.
using RoutingPolicy = std::variant<RoundRobin, LeastOutstanding, PowerOfTwo, PrefixAffinity>;

/// The routing policies by the name that settings choose them with.
using RoutingRegistry = Registry<RoutingPolicy, RoutingSettings>;

/// Chooses among the candidates, or nothing if none is left. Leaving upstreams are never chosen;
/// those already tried only if there is no other; the own data centre goes first, then the own
/// region, unless the latency target can't be met there. Linear in the candidates.
std::optional<UpstreamId> choose(RoutingPolicy &policy, const RoutingRequest &request,
                                 std::span<const Candidate> candidates, TimePoint now,
                                 pcg32 &random);

/// Tells the policy that a request went to an upstream, so that it can remember its prefix.
void recordDispatch(RoutingPolicy &policy, const UpstreamId &upstream,
                    const RoutingRequest &request, TimePoint now);

/// Tells the policy what an upstream's prefix cache gained or lost, late and with gaps.
void applyCacheEvent(RoutingPolicy &policy, const CacheEvent &event, TimePoint now);

/// Drops what the policy remembers of an upstream, when it left or started anew.
void dropUpstreamState(RoutingPolicy &policy, const UpstreamId &upstream);

/// Hashes a prompt block by block; each hash covers all blocks up to its own, so that equal hashes
/// mean equal prefixes. A last incomplete block is left out. Linear in the prompt.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::size_t blockBytes = 256);

} // namespace gypsumdale
