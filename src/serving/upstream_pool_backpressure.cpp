#include <gypsumdale/serving/upstream_pool.hpp>

#include <algorithm> // min

/// The upstreams that have asked for fewer requests in their answers.
namespace gypsumdale {

namespace {

/// Longest time that is looked ahead.
constexpr Duration maxWait = std::chrono::seconds(60);

} // namespace

/// Removes the upstreams that take no request of this VM now.
void UpstreamPool::keepAccepting(Candidates &candidates, TimePoint now) const
{
    if (m_backpressure.isEmpty())
        return;
    std::erase_if(candidates, [this, now](const PooledUpstreamPointer &candidate) {
        return !m_backpressure.accepts(candidate->process(), now);
    });
}

std::optional<BackpressureWait> UpstreamPool::backpressureWait(const PlacementRequest &request,
                                                               TimePoint now) const
{
    const Candidates candidates = candidatesFor(request);
    if (candidates.empty())
        return std::nullopt;
    BackpressureWait wait{maxWait, 0, candidates.size()};
    bool hasUnlimited = false;
    for (const PooledUpstreamPointer &candidate : candidates) {
        const UpstreamProcess process = candidate->process();
        if (m_backpressure.accepts(process, now))
            return std::nullopt;
        wait.m_first =
                std::min(wait.m_first, m_backpressure.timeUntilAccepted(process, now, maxWait));
        const std::optional<double> share = m_backpressure.shareOf(process);
        hasUnlimited = hasUnlimited || !share;
        *wait.m_perSecond += share.value_or(0);
    }
    if (hasUnlimited)
        wait.m_perSecond.reset();
    return wait;
}

void UpstreamPool::takePermit(const PooledUpstream &upstream, TimePoint now)
{
    m_backpressure.takePermit(upstream.process(), now);
}

} // namespace gypsumdale
