#include <serving/placement_cost.hpp>

#include <algorithm> // clamp

namespace gypsumdale {

namespace {

/// Delay that a running request adds for the next one, as prompt tokens with the same prefill time.
constexpr double runningCostTokens = 400;
/// Cost of a plain service's running request; its upstreams have few slots.
constexpr double plainRunningCost = 4000;

} // namespace

double PlacementCostContext::pendingTokens(const PooledUpstream &upstream) const
{
    if (!m_areReportsOld || m_request.m_readingSpeed <= 0)
        return static_cast<double>(upstream.pendingTokens());
    return upstream.unreadTokens(upstream.m_speed.valueOr(m_request.m_readingSpeed), m_now);
}

double loadCost(const PooledUpstream &upstream, const PlacementCostContext &context)
{
    const double running = upstream.running();
    if (context.isPlain())
        return running * plainRunningCost;
    return (running * runningCostTokens + context.pendingTokens(upstream))
           / upstream.m_speed.m_relative;
}

double ownPrefillCost(const PooledUpstream &upstream, double ownTokens)
{
    return ownTokens * (1 / upstream.m_speed.m_relative - 1);
}

double pauseCost(const PooledUpstream &upstream, double ownTokens,
                 const PlacementCostContext &context)
{
    const PlacementRequest &request = context.m_request;
    if (request.m_maxPauseTokens <= 0)
        return 0;
    double pauseTokens = request.m_maxPauseTokens;
    if (upstream.m_speed.m_tokensPerSecond > 0 && request.m_readingSpeed > 0)
        pauseTokens *= upstream.m_speed.m_tokensPerSecond / request.m_readingSpeed;
    const double beyond = context.pendingTokens(upstream) + ownTokens - pauseTokens;
    return upstream.running() * std::clamp(beyond, 0.0, ownTokens) / upstream.m_speed.m_relative;
}

} // namespace gypsumdale
