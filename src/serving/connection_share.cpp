#include <gypsumdale/policy/slot_share.hpp>
#include <gypsumdale/serving/connection_share.hpp>

#include <algorithm> // clamp, max, min
#include <cstdint> // int64_t, uint32_t

namespace gypsumdale {

namespace {

/// Requests at an upstream, per slot, up to which it counts as idle: each slot has at most one
/// waiting request.
constexpr int idleRequestsPerSlot = 2;
/// A VM may use connections beyond its share while it uses less than this fraction (1/n) of its
/// shares at all upstreams. If the load of all VMs rises at once, before reports show it, most of
/// them then have used nothing beyond.
constexpr int lightLoadDivisor = 2;
/// Expected time to a free connection where no request ended within the last second.
constexpr Duration unknownWait = std::chrono::seconds(1);

/// Returns the connections that no VM's share includes and that VMs beyond their share may use
/// while the upstream is idle.
int spareConnections(const ConnectionView &view, int share)
{
    const std::int64_t idleRequests = std::int64_t{idleRequestsPerSlot} * std::max(view.m_slots, 0);
    const std::int64_t unshared = view.m_limit - std::int64_t{share} * view.m_vms;
    return static_cast<int>(std::clamp<std::int64_t>(unshared, 0, idleRequests));
}

/// Returns what the other VMs may use without another report: what they reported, and their shares
/// but one connection, as canDispatch() adds one for each VM.
std::uint32_t chargeOfPeers(const ConnectionView &view, int share)
{
    const int reserve = share - 1;
    std::int64_t charge = 0;
    for (const int reported : view.m_peers)
        charge += std::max(reported, reserve);
    const std::int64_t withoutReport =
            std::max<std::int64_t>(0, std::int64_t{view.m_vms} - 1 - std::ssize(view.m_peers));
    charge += withoutReport * reserve;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(charge, view.m_limit));
}

bool isFreeByReports(const ConnectionView &view, int share)
{
    SlotView slots;
    slots.m_slots = static_cast<std::uint32_t>(view.m_limit - spareConnections(view, share));
    slots.m_nodes = static_cast<std::uint32_t>(view.m_vms);
    slots.m_rank = slots.m_nodes - 1;
    slots.m_own = static_cast<std::uint32_t>(view.m_own);
    slots.m_ownMinimum = static_cast<std::uint32_t>(std::max(view.m_ownMinimum, 0));
    slots.m_peers = chargeOfPeers(view, share);
    return canDispatch(slots);
}

bool isIdle(const ConnectionView &view, const ConnectionDecision &decision)
{
    const int spare = spareConnections(view, decision.m_share);
    const bool hasLightLoad = std::int64_t{view.m_ownAtAll} * lightLoadDivisor
                              < std::int64_t{decision.m_share} * view.m_upstreams;
    return hasLightLoad && decision.m_own + decision.m_reported < spare;
}

} // namespace

int connectionShare(int limit, int vms)
{
    const auto nodes = static_cast<std::uint32_t>(std::max(vms, 1));
    // The remainder of an uneven division is left to all, as VMs may disagree on their ranks.
    const std::uint32_t even =
            evenSlotShare(static_cast<std::uint32_t>(std::max(limit, 0)), nodes, nodes - 1);
    return std::max(1, static_cast<int>(even));
}

ConnectionDecision decideConnection(const ConnectionView &view)
{
    ConnectionDecision decision;
    decision.m_own = view.m_own;
    decision.m_vms = view.m_vms;
    if (view.m_limit <= 0)
        return decision;
    decision.m_limit = view.m_limit;
    decision.m_share = connectionShare(view.m_limit, view.m_vms);
    for (const int reported : view.m_peers)
        decision.m_reported += reported;
    if (view.m_own < decision.m_share)
        decision.m_verdict = ConnectionVerdict::WithinShare;
    else if (isIdle(view, decision))
        decision.m_verdict = ConnectionVerdict::UpstreamIdle;
    else if (isFreeByReports(view, decision.m_share))
        decision.m_verdict = ConnectionVerdict::FreeByReports;
    else
        decision.m_verdict = ConnectionVerdict::ShareUsed;
    return decision;
}

ConnectionWaitDecision decideConnectionWait(const ConnectionWaitView &view)
{
    ConnectionWaitDecision decision;
    const auto rank = static_cast<std::int64_t>(view.m_ahead) + 1;
    if (view.m_endsPerSecond > 0)
        decision.m_expected = Duration(std::chrono::seconds(1)) * rank
                              / static_cast<std::int64_t>(view.m_endsPerSecond);
    else
        decision.m_expected = unknownWait * rank;
    if (view.m_maxWait <= Duration::zero())
        decision.m_verdict = ConnectionWaitVerdict::NoTime;
    else if (view.m_endsPerSecond == 0 ? view.m_ahead > 0 : decision.m_expected > view.m_maxWait)
        decision.m_verdict = ConnectionWaitVerdict::TooMany;
    return decision;
}

} // namespace gypsumdale
