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

/// A policy for selecting an upstream. Each alternative has the member functions choose(),
/// dispatched(), cacheEvent() and forget(), called by the free functions below.
using RoutingPolicy = std::variant<RoundRobin, LeastOutstanding, PowerOfTwo, PrefixAffinity>;

/// The routing policies by their names in the settings.
using RoutingRegistry = Registry<RoutingPolicy, RoutingSettings>;

/// Selects one of the candidates; returns nothing if none is eligible. Leaving upstreams are never
/// selected, and upstreams tried before only if there is no other. The own data centre is
/// preferred, then the own region, unless the latency target can't be met there. Complexity: linear
/// in the candidates.
std::optional<UpstreamId> choose(RoutingPolicy &policy, const RoutingRequest &request,
                                 std::span<const Candidate> candidates, TimePoint now,
                                 pcg32 &random);

/// Records the dispatch of a request, so that the policy knows where its prefix is cached.
void recordDispatch(RoutingPolicy &policy, const UpstreamId &upstream,
                    const RoutingRequest &request, TimePoint now);

/// Applies a change of an upstream's prefix cache. Events may be late, and some may be missing.
void applyCacheEvent(RoutingPolicy &policy, const CacheEvent &event, TimePoint now);

/// Drops the policy's state of an upstream that left or restarted.
void dropUpstreamState(RoutingPolicy &policy, const UpstreamId &upstream);

/// Hashes a prompt in blocks. Each hash covers all blocks up to its own, so that equal hashes mean
/// equal prefixes. An incomplete last block is ignored. Complexity: linear in the prompt.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::size_t blockBytes = 256);

} // namespace gypsumdale
