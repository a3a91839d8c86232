#include <gypsumdale/entry/entry_relay.hpp>
#include <gypsumdale/entry/upstream_client.hpp>

#include <algorithm> // max, min
#include <vector> // vector

namespace gypsumdale {

namespace {

constexpr Duration probeTimeout = std::chrono::milliseconds(250);
/// The pause between two connections that are tried grows from the first to the last value.
constexpr Duration firstProbePause = std::chrono::milliseconds(20);
constexpr Duration lastProbePause = std::chrono::milliseconds(200);

} // namespace

void EntryRelay::recordConnected(const PooledUpstream &upstream)
{
    const ServiceId &service = upstream.m_record.m_service;
    if (!m_reach.recordConnected(service))
        return;
    m_pool.clearFailures(service);
    m_log.info("service-reached",
               {service,
                upstream.m_record.m_id,
                {LogField::Millis, toMillis(m_clock.now() - m_cutOffSince[service])}});
    m_cutOffSince.erase(service);
}

void EntryRelay::recordUnreachable(const PooledUpstream &upstream)
{
    const ServiceId service = upstream.m_record.m_service;
    const std::size_t known = m_pool.placeable(service).size();
    if (m_reach.recordUnreachable(service, upstream.m_record.m_id, known, m_clock.now()))
        check(service);
}

/// Tries connections to all upstreams of a service before it counts as cut off. A few failures
/// don't prove a cut: many upstreams may be down while the path works.
void EntryRelay::check(const ServiceId &service)
{
    if (!m_checkedServices.insert(service).second)
        return;
    const auto hasFailed = [this, &service](const UpstreamId &upstream) {
        return m_reach.hasFailed(service, upstream);
    };
    const auto check = std::make_shared<RunningCheck>();
    check->m_service = service;
    check->m_check = ReachCheck(m_pool.placeable(service), hasFailed, m_draw);
    tryNextBatch(check);
}

void EntryRelay::tryNextBatch(const std::shared_ptr<RunningCheck> &check)
{
    const std::vector<PooledUpstreamPointer> batch = check->m_check.nextBatch();
    if (batch.empty() || check->m_isReached) {
        m_checkedServices.erase(check->m_service);
        if (!check->m_isReached)
            beginCutOff(check->m_service);
        return;
    }
    check->m_pending = batch.size();
    for (const PooledUpstreamPointer &upstream : batch)
        m_loop.spawn([this, check, upstream] { tryConnection(check, upstream); });
}

void EntryRelay::tryConnection(const std::shared_ptr<RunningCheck> &check,
                               const PooledUpstreamPointer &upstream)
{
    const UpstreamRecord &record = upstream->m_record;
    if (UpstreamClient::canConnect({record.m_ip, record.m_port}, probeTimeout)) {
        check->m_isReached = true;
        recordConnected(*upstream);
    }
    if (--check->m_pending == 0)
        tryNextBatch(check);
}

void EntryRelay::beginCutOff(const ServiceId &service)
{
    if (!m_reach.recordCutOff(service))
        return;
    m_cutOffSince[service] = m_clock.now();
    m_metrics.add(Counter::ServicesCutOff);
    m_log.warning("service-cut-off",
                  {service, {LogField::Count, m_pool.placeable(service).size()}});
    m_loop.spawn([this, service] { probe(service); });
}

/// Tries connections to a service's upstreams, one after the other, until one is opened.
void EntryRelay::probe(const ServiceId &service)
{
    Duration pause = firstProbePause;
    while (m_reach.isCutOff(service)) {
        sleepFiber(pause);
        pause = std::min(2 * pause, lastProbePause);
        const PooledUpstreamPointer upstream = chooseProbed(service);
        if (!upstream)
            continue;
        const UpstreamRecord &record = upstream->m_record;
        if (UpstreamClient::canConnect({record.m_ip, record.m_port}, probeTimeout))
            recordConnected(*upstream);
    }
}

/// Returns a random upstream of a service, one that has not failed if there is any.
PooledUpstreamPointer EntryRelay::chooseProbed(const ServiceId &service)
{
    std::vector<PooledUpstreamPointer> all = m_pool.placeable(service);
    std::vector<PooledUpstreamPointer> untried;
    for (const PooledUpstreamPointer &upstream : all) {
        if (!m_reach.hasFailed(service, upstream->m_record.m_id))
            untried.push_back(upstream);
    }
    const auto &candidates = untried.empty() ? all : untried;
    return candidates.empty() ? nullptr : candidates[m_draw() % candidates.size()];
}

RelayStatus EntryRelay::status() const
{
    return {m_isOpen ? std::max(0, maxTaken - m_taken) : 0, m_reach.cutOffServices()};
}

std::optional<std::string_view> EntryRelay::refusalFor(std::string_view ip) const
{
    if (!m_peers.isPeerAddress(ip))
        return "not-a-peer";
    if (m_taken >= maxTaken)
        return "full";
    return std::nullopt;
}

EntryRelay::TakenRequest EntryRelay::take()
{
    m_metrics.add(Counter::RequestsTakenForPeers);
    return TakenRequest(m_taken);
}

} // namespace gypsumdale
