#include <serving/detail/upstream_draw.hpp>

#include <xxhash.h>

#include <algorithm> // max
#include <cmath> // log
#include <limits> // numeric_limits
#include <utility> // swap

namespace gypsumdale::detail {

namespace {

/// Factor by which a plain service's upstream in another data centre is less likely to be drawn,
/// because of latency and paid traffic.
constexpr double remoteDrawFactor = 1.5;

/// Returns the known requests at an upstream, with this VM's recent placements.
int loadSince(const PooledUpstream &upstream, TimePoint since)
{
    const auto recent = static_cast<int>(upstream.m_recentPlacements.countAfter(since));
    return upstream.m_peerTotal.m_running + std::max(upstream.m_own.m_running, recent);
}

} // namespace

double drawFor(const PooledUpstream &upstream, const PlacementRequest &request)
{
    const std::string &id = upstream.m_record.m_id.text();
    const auto drawn = XXH3_64bits_withSeed(id.data(), id.size(), request.m_draw);
    constexpr double range = 18446744073709551616.0;
    return (static_cast<double>(drawn) + 1) / range;
}

PooledUpstreamPointer drawByLoad(const std::vector<PooledUpstreamPointer> &candidates,
                                 const PlacementRequest &request, TimePoint now)
{
    PooledUpstreamPointer best;
    double least = std::numeric_limits<double>::max();
    for (const PooledUpstreamPointer &candidate : candidates) {
        const int running = candidate->running();
        // The minimum of exponential draws falls on each upstream in proportion to its rate.
        double drawn = -std::log(drawFor(*candidate, request)) * (1 + std::max(0, running));
        if (candidate->m_record.m_dataCentre != request.m_dataCentre)
            drawn *= remoteDrawFactor;
        if (candidate->m_avoidUntil > now)
            drawn += avoidedCost;
        if (drawn < least) {
            best = candidate;
            least = drawn;
        }
    }
    return best;
}

PooledUpstreamPointer drawLessLoadedOfTwo(const std::vector<PooledUpstreamPointer> &candidates,
                                          const PlacementRequest &request, TimePoint reportedSince,
                                          TimePoint now)
{
    struct Drawn
    {
        PooledUpstreamPointer m_upstream;
        double m_rank = std::numeric_limits<double>::max();
    };
    Drawn first;
    Drawn second;
    for (const PooledUpstreamPointer &candidate : candidates) {
        const double avoided = candidate->m_avoidUntil > now ? avoidedCost : 0;
        Drawn drawn{candidate, drawFor(*candidate, request) + avoided};
        if (drawn.m_rank < first.m_rank)
            std::swap(drawn, first);
        if (drawn.m_rank < second.m_rank)
            std::swap(drawn, second);
    }
    if (!second.m_upstream || second.m_rank - first.m_rank > avoidedCost / 2)
        return first.m_upstream;
    const int firstLoad = loadSince(*first.m_upstream, reportedSince);
    const int secondLoad = loadSince(*second.m_upstream, reportedSince);
    if (firstLoad != secondLoad)
        return firstLoad < secondLoad ? first.m_upstream : second.m_upstream;
    const bool isSecondLocal = second.m_upstream->m_record.m_dataCentre == request.m_dataCentre;
    return isSecondLocal ? second.m_upstream : first.m_upstream;
}

} // namespace gypsumdale::detail
