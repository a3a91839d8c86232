#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

namespace gypsumdale {

/// Inputs of one selection among engines.
struct PlacementCostContext
{
    const PlacementRequest &m_request;
    bool m_areReportsOld = false;
    TimePoint m_now{};

    bool isPlain() const { return m_request.m_promptTokens == 0; }
    /// Returns the known prompt tokens that are still to be read at an engine.
    double pendingTokens(const PooledUpstream &upstream) const;
};

/// Costs are delays, in prompt tokens that an engine of the service's median speed reads in that
/// time. They are unaffected by speeds where these are usual (a relative speed of 1).

/// Returns the cost of the known load at an upstream.
double loadCost(const PooledUpstream &upstream, const PlacementCostContext &context);

/// Returns the cost of reading a prompt at an upstream, in addition to that at one of usual speed.
double ownPrefillCost(const PooledUpstream &upstream, double ownTokens);

/// Returns a prompt's cost for an engine's other streams. An engine reads prompts in pieces between
/// the events of its streams, and a long prompt, or several in a row, causes a pause in all of
/// them. Tokens beyond the permitted pause count once for each stream that waits.
double pauseCost(const PooledUpstream &upstream, double ownTokens,
                 const PlacementCostContext &context);

} // namespace gypsumdale
