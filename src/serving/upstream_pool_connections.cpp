#include <gypsumdale/serving/upstream_pool.hpp>

#include <algorithm> // clamp, max, min
#include <limits> // numeric_limits

/// The connections that the upstreams accept from all VMs.
namespace gypsumdale {

namespace {

/// Interval at which two VMs exchange reports in a small fleet.
constexpr Duration reportInterval = std::chrono::milliseconds(250);
/// Shortest time within which a report is assumed to be unknown to a peer.
constexpr Duration minUnreportedTime = std::chrono::milliseconds(1500);

/// Records this VM's requests in flight at an upstream, with the fewest since the last record. That
/// minimum counts from now on, so that growth is estimated too high, not too low.
void recordOwn(PooledUpstream &upstream, TimePoint now, Duration keep)
{
    const int running = std::max(upstream.m_own.m_running, 0);
    const int lowest = std::clamp(upstream.m_ownLowest, 0, running);
    upstream.m_ownHistory.note(now, static_cast<std::uint32_t>(lowest), keep);
    upstream.m_ownHistory.note(now, static_cast<std::uint32_t>(running), keep);
    upstream.m_ownLowest = running;
}

} // namespace

bool UpstreamPool::setFleetSize(std::size_t vms)
{
    constexpr std::size_t most = std::numeric_limits<int>::max();
    const int size = static_cast<int>(std::clamp<std::size_t>(vms, 1, most));
    const bool hasChanged = size != m_vms;
    m_vms = size;
    return hasChanged;
}

void UpstreamPool::setConnectionLimits(std::map<ServiceId, int> limits)
{
    m_connectionLimits = std::move(limits);
    std::erase_if(m_connectionLimits, [](const auto &limit) { return limit.second <= 0; });
}

ConnectionDecision UpstreamPool::decideAt(PooledUpstream &upstream, ConnectionView view,
                                          TimePoint now) const
{
    const Duration unreported = std::max(minUnreportedTime, 2 * reportInterval * m_exchangeStretch);
    recordOwn(upstream, now, unreported);
    view.m_slots = upstream.m_record.m_slots;
    view.m_own = upstream.m_own.m_running;
    view.m_ownMinimum = static_cast<int>(upstream.m_ownHistory.minimumSince(now - unreported));
    // Within the share the reports don't matter.
    if (view.m_own >= connectionShare(view.m_limit, view.m_vms))
        view.m_peers = upstream.m_peerRunning;
    return decideConnection(view);
}

/// Removes the upstreams without a free connection. If all that didn't fail recently are among
/// them, none is left: a request is not sent to a failing upstream because others are busy. Returns
/// the decision on an upstream without a free connection, if there is one.
std::optional<ConnectionDecision> UpstreamPool::keepConnectable(Candidates &candidates,
                                                                TimePoint now) const
{
    if (candidates.empty() || m_connectionLimits.empty())
        return std::nullopt;
    const auto limit = m_connectionLimits.find(candidates.front()->m_record.m_service);
    if (limit == m_connectionLimits.end())
        return std::nullopt;
    ConnectionView view;
    view.m_limit = limit->second;
    view.m_vms = m_vms;
    view.m_upstreams = static_cast<int>(candidates.size());
    for (const PooledUpstreamPointer &candidate : candidates)
        view.m_ownAtAll += candidate->m_own.m_running;
    std::optional<ConnectionDecision> shortage;
    bool hasBusy = false;
    bool hasUsable = false;
    std::erase_if(candidates, [&](const PooledUpstreamPointer &candidate) {
        const ConnectionDecision decision = decideAt(*candidate, view, now);
        const bool isAvoided = candidate->m_avoidUntil > now;
        hasUsable = hasUsable || (decision.isGranted() && !isAvoided);
        hasBusy = hasBusy || (!decision.isGranted() && !isAvoided);
        if (!decision.isGranted())
            shortage = decision;
        return !decision.isGranted();
    });
    if (hasBusy && !hasUsable)
        candidates.clear();
    return shortage;
}

std::optional<ConnectionDecision> UpstreamPool::connectionShortage(const PlacementRequest &request,
                                                                   TimePoint now) const
{
    if (!limitsConnections(request.m_service))
        return std::nullopt;
    Candidates candidates = candidatesFor(request);
    keepAccepting(candidates, now);
    const std::optional<ConnectionDecision> shortage = keepConnectable(candidates, now);
    return candidates.empty() ? shortage : std::nullopt;
}

} // namespace gypsumdale
