#include <gypsumdale/entry/entry_backpressure.hpp>

#include <platform/backpressure_codec.hpp>

#include <set> // set

namespace gypsumdale {

namespace {

/// Source of what this VM heard itself.
constexpr std::string_view ownAnswer = "answer";

} // namespace

EntryBackpressure::EntryBackpressure(const NodeId &node, UpstreamPool &pool, const Clock &clock,
                                     Logger &log, Metrics &metrics)
    : m_pool(pool)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
    m_pool.backpressure().setNode(node);
}

void EntryBackpressure::recordAnswer(const PooledUpstream &upstream, const HttpHeaders &headers)
{
    const BackpressureSignal signal = platform::decodeBackpressure(headers);
    if (signal.m_invalidValues > 0) {
        m_log.warning("upstream-signal-invalid", {upstream.m_record.m_id,
                                                  upstream.m_record.m_service,
                                                  {LogField::Count, signal.m_invalidValues}});
    }
    const auto change = m_pool.backpressure().record(upstream.process(), signal, m_clock.now());
    if (change)
        logChange(*change, ownAnswer, Duration::zero());
}

void EntryBackpressure::setPeer(const std::string &node,
                                const std::vector<RateLimitReport> &reports)
{
    const TimePoint now = m_clock.now();
    m_pool.backpressure().addPeer(NodeId(node), now);
    for (const RateLimitReport &report : reports) {
        if (const auto change = m_pool.backpressure().mergePeer(report, now))
            logChange(*change, node, now - report.m_heardAt);
    }
}

void EntryBackpressure::removePeer(const std::string &node)
{
    m_pool.backpressure().removePeer(NodeId(node), m_clock.now());
}

void EntryBackpressure::setFleetSize(std::size_t vms)
{
    m_pool.backpressure().setFleetSize(vms, m_clock.now());
}

std::vector<RateLimitReport> EntryBackpressure::report()
{
    const TimePoint now = m_clock.now();
    UpstreamBackpressure &backpressure = m_pool.backpressure();
    if (backpressure.isEmpty())
        return {};
    std::set<UpstreamProcess> present;
    for (const auto &[id, upstream] : m_pool.upstreams())
        present.insert(upstream->process());
    backpressure.removeExpired(present, now);
    m_metrics.set(Gauge::LimitedUpstreams, static_cast<std::int64_t>(backpressure.limitedCount()));
    return backpressure.report(now);
}

Duration EntryBackpressure::returnDelay(const ServiceId &service, const BackpressureWait &wait)
{
    m_metrics.add(Counter::BackpressureRejections);
    return m_returns.next(service, wait.m_first, wait.m_perSecond, m_clock.now());
}

/// Logs that the request rate of an upstream is limited, limited otherwise, or no longer.
void EntryBackpressure::logChange(const RateLimitChange &change, std::string_view source,
                                  Duration age)
{
    m_log.info("upstream-rate-limit", {change.m_process.m_id,
                                       {LogField::State, change.m_limit ? "limited" : "unlimited"},
                                       {LogField::Limit, change.m_limit.value_or(0)},
                                       {LogField::Share, change.m_share},
                                       {LogField::Count, change.m_vms},
                                       {LogField::Source, source},
                                       {LogField::AgeMillis, toMillis(age)}});
}

} // namespace gypsumdale
