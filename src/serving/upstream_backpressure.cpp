#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/serving/upstream_backpressure.hpp>

#include <algorithm> // count_if, lower_bound, max, min, min_element
#include <string> // string

namespace gypsumdale {

namespace {

/// Time after which an upstream of which nothing was heard may have no holder that uses it.
constexpr Duration unheardTime = std::chrono::seconds(15);
/// Time for which the end of a limit is told to peers and remembered: longer than two VMs of a
/// large fleet take to exchange reports.
constexpr Duration endedTime = std::chrono::seconds(30);
/// Time for which a limit is told and, once its upstream has left the list, remembered. An entry
/// may vanish for an outage of the store.
constexpr Duration limitedTime = std::chrono::seconds(60);
/// Time for which it is remembered that an upstream leaves that isn't in the list: longer than
/// entries are missing in an outage of the store.
constexpr Duration leavingTime = std::chrono::minutes(10);
/// More upstreams than a fleet has.
constexpr std::size_t maxEntries = 16384;

} // namespace

void UpstreamBackpressure::addPeer(const NodeId &peer, TimePoint now)
{
    const auto place = std::ranges::lower_bound(m_peers, peer);
    if (place != m_peers.end() && *place == peer)
        return;
    m_peers.insert(place, peer);
    updateShares(now);
}

void UpstreamBackpressure::removePeer(const NodeId &peer, TimePoint now)
{
    if (std::erase(m_peers, peer) > 0)
        updateShares(now);
}

void UpstreamBackpressure::setFleetSize(std::size_t vms, TimePoint now)
{
    if (vms == m_vms)
        return;
    m_vms = vms;
    updateShares(now);
}

std::optional<RateLimitChange> UpstreamBackpressure::record(const UpstreamProcess &process,
                                                            const BackpressureSignal &signal,
                                                            TimePoint now)
{
    const bool saysNothing = signal.m_invalidValues > 0 || !m_rateLimits.contains(process);
    if (!signal.m_rateLimit && saysNothing)
        return std::nullopt;
    return apply({process, signal.m_rateLimit, now}, true, now);
}

std::optional<RateLimitChange> UpstreamBackpressure::mergePeer(const RateLimitReport &report,
                                                               TimePoint now)
{
    const auto known = m_rateLimits.find(report.m_process);
    const bool isUnlimited = !report.m_limit && known == m_rateLimits.end();
    const bool isKnown = known != m_rateLimits.end() && report.m_heardAt <= known->second.m_heardAt;
    if (isUnlimited || isKnown)
        return std::nullopt;
    return apply(report, false, now);
}

std::optional<RateLimitChange> UpstreamBackpressure::apply(const RateLimitReport &report,
                                                           bool isOwn, TimePoint now)
{
    if (!m_rateLimits.contains(report.m_process) && m_rateLimits.size() >= maxEntries)
        dropOldest();
    RateLimit &limit = m_rateLimits[report.m_process];
    const bool hasChanged = limit.m_limit != report.m_limit;
    limit.m_limit = report.m_limit;
    limit.m_heardAt = report.m_heardAt;
    limit.m_isOwn = isOwn;
    if (hasChanged || !limit.m_isHolder)
        updateShare(report.m_process, limit, now);
    if (!hasChanged)
        return std::nullopt;
    const double share = limit.m_isHolder ? limit.m_permits.perSecond() : 0;
    return RateLimitChange{report.m_process, report.m_limit, share, m_vms};
}

void UpstreamBackpressure::updateShares(TimePoint now)
{
    for (auto &[process, limit] : m_rateLimits)
        updateShare(process, limit, now);
}

/// Computes this VM's part of an upstream's rate. One that is no holder gathers permits only while
/// nothing is heard of the upstream, or all such VMs would use theirs at once.
void UpstreamBackpressure::updateShare(const UpstreamProcess &process, RateLimit &limit,
                                       TimePoint now) const
{
    if (!limit.m_limit)
        return;
    const RateShareView view = viewOf(limit);
    const bool wasHolder = limit.m_isHolder;
    limit.m_isHolder = isHolder(process, view);
    const TimePoint since = limit.m_isHolder ? now : limit.m_heardAt + unheardTime;
    if (!limit.m_isHolder || !wasHolder)
        limit.m_permits = TokenBucket(firstPermits(process), since);
    const RateShare share = limit.m_isHolder ? holderShare(view) : unheardShare(view);
    limit.m_permits.setRate(share.m_perSecond, share.m_burst, since);
}

RateShareView UpstreamBackpressure::viewOf(const RateLimit &limit) const
{
    return {limit.m_limit.value_or(0), m_vms, m_peers.size() + 1};
}

/// Returns a part of a permit that is this VM's own, so that the VMs don't send their first
/// requests at the same time. Not by the hash that selects holders: all of them have a high one.
double UpstreamBackpressure::firstPermits(const UpstreamProcess &process) const
{
    constexpr double range = 18446744073709551616.0;
    const std::string key = process.m_id.text() + "/first-permits";
    return static_cast<double>(rendezvousWeight(key, m_node)) / range;
}

bool UpstreamBackpressure::isHolder(const UpstreamProcess &process, const RateShareView &view) const
{
    std::vector<NodeId> nodes = m_peers;
    nodes.push_back(m_node);
    return isRendezvousChoice(process.m_id.text(), nodes, rateLimitHolders(view), m_node);
}

bool UpstreamBackpressure::recordLeaving(const UpstreamProcess &process, TimePoint now)
{
    if (m_leaving.size() >= maxEntries && !m_leaving.contains(process))
        return false;
    return m_leaving.try_emplace(process, now).second;
}

bool UpstreamBackpressure::isLeaving(const UpstreamProcess &process) const
{
    return m_leaving.contains(process);
}

void UpstreamBackpressure::recordRest(const UpstreamProcess &process, TimePoint until,
                                      TimePoint now)
{
    std::erase_if(m_restsUntil, [now](const auto &rest) { return rest.second <= now; });
    TimePoint &end = m_restsUntil[process];
    end = std::max(end, until);
}

bool UpstreamBackpressure::isResting(const UpstreamProcess &process, TimePoint now) const
{
    const auto found = m_restsUntil.find(process);
    return found != m_restsUntil.end() && now < found->second;
}

bool UpstreamBackpressure::accepts(const UpstreamProcess &process, TimePoint now) const
{
    if (isResting(process, now))
        return false;
    const auto found = m_rateLimits.find(process);
    return found == m_rateLimits.end() || !found->second.m_limit
           || found->second.m_permits.hasPermit(now);
}

Duration UpstreamBackpressure::timeUntilAccepted(const UpstreamProcess &process, TimePoint now,
                                                 Duration longest) const
{
    Duration wait{};
    if (isResting(process, now))
        wait = m_restsUntil.at(process) - now;
    const auto found = m_rateLimits.find(process);
    if (found != m_rateLimits.end() && found->second.m_limit)
        wait = std::max(wait, found->second.m_permits.timeUntilPermit(now, longest));
    return std::min(wait, longest);
}

std::optional<double> UpstreamBackpressure::shareOf(const UpstreamProcess &process) const
{
    const auto found = m_rateLimits.find(process);
    if (found == m_rateLimits.end() || !found->second.m_limit)
        return std::nullopt;
    return found->second.m_isHolder ? found->second.m_permits.perSecond() : 0;
}

void UpstreamBackpressure::takePermit(const UpstreamProcess &process, TimePoint now)
{
    const auto found = m_rateLimits.find(process);
    if (found != m_rateLimits.end() && found->second.m_limit)
        found->second.m_permits.take(now);
}

BackpressureReport UpstreamBackpressure::report(const std::set<UpstreamProcess> &ready,
                                                TimePoint now) const
{
    BackpressureReport report;
    for (const auto &[process, limit] : m_rateLimits) {
        const Duration told = limit.m_limit ? limitedTime : endedTime;
        if (limit.m_isOwn && now - limit.m_heardAt <= told)
            report.m_rateLimits.push_back({process, limit.m_limit, limit.m_heardAt});
    }
    for (const auto &[process, lastPresentAt] : m_leaving) {
        if (ready.contains(process))
            report.m_leaving.push_back(process);
    }
    return report;
}

void UpstreamBackpressure::removeExpired(const std::set<UpstreamProcess> &present, TimePoint now)
{
    std::erase_if(m_rateLimits, [&](const auto &item) {
        const auto &[process, limit] = item;
        if (!limit.m_limit)
            return now - limit.m_heardAt > endedTime;
        return !present.contains(process) && now - limit.m_heardAt > limitedTime;
    });
    for (auto &[process, lastPresentAt] : m_leaving) {
        if (present.contains(process))
            lastPresentAt = now;
    }
    std::erase_if(m_restsUntil, [now](const auto &rest) { return rest.second <= now; });
    std::erase_if(m_leaving, [now](const auto &item) { return now - item.second > leavingTime; });
}

std::size_t UpstreamBackpressure::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_rateLimits.begin(), m_rateLimits.end(),
                          [](const auto &item) { return item.second.m_limit.has_value(); }));
}

void UpstreamBackpressure::dropOldest()
{
    const auto isEarlier = [](const auto &left, const auto &right) {
        return left.second.m_heardAt < right.second.m_heardAt;
    };
    m_rateLimits.erase(std::min_element(m_rateLimits.begin(), m_rateLimits.end(), isEarlier));
}

} // namespace gypsumdale
