#include <gypsumdale/entry/entry_backpressure.hpp>
#include <gypsumdale/runtime/http_status.hpp>

#include <platform/backpressure_codec.hpp>

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

void EntryBackpressure::recordAnswer(const UpstreamProcess &process, int status,
                                     const HttpHeaders &headers)
{
    recordSignal(process, platform::decodeBackpressure(status, headers));
}

void EntryBackpressure::recordRelayedAnswer(const UpstreamProcess &process,
                                            const HttpHeaders &headers)
{
    BackpressureSignal signal = platform::decodeBackpressure(statusOk, headers);
    signal.m_rest.reset();
    recordSignal(process, signal);
}

void EntryBackpressure::recordSignal(const UpstreamProcess &process,
                                     const BackpressureSignal &signal)
{
    if (signal.m_invalidValues > 0)
        m_log.warning("upstream-signal-invalid",
                      {process.m_id, {LogField::Count, signal.m_invalidValues}});
    if (const auto change = m_pool.backpressure().record(process, signal, m_clock.now()))
        logRateLimit(*change, ownAnswer, Duration::zero());
    if (signal.m_isLeaving)
        recordLeaving(process, ownAnswer);
    if (signal.m_rest)
        recordRest(process, *signal.m_rest);
}

/// Records that an upstream asks this VM for rest, and logs it unless it rests already.
void EntryBackpressure::recordRest(const UpstreamProcess &process, Duration rest)
{
    UpstreamBackpressure &backpressure = m_pool.backpressure();
    const TimePoint now = m_clock.now();
    const bool wasResting = backpressure.isResting(process, now);
    backpressure.recordRest(process, now + rest, now);
    if (!wasResting)
        m_log.info("upstream-rests", {process.m_id, {LogField::RetryAfterMillis, toMillis(rest)}});
}

/// Records that an upstream leaves, and logs it the first time.
void EntryBackpressure::recordLeaving(const UpstreamProcess &process, std::string_view source)
{
    if (m_pool.backpressure().recordLeaving(process, m_clock.now()))
        m_log.info("upstream-says-leaving", {process.m_id, {LogField::Source, source}});
}

void EntryBackpressure::setPeer(const std::string &node, const BackpressureReport &report)
{
    const TimePoint now = m_clock.now();
    m_pool.backpressure().addPeer(NodeId(node), now);
    for (const RateLimitReport &limit : report.m_rateLimits) {
        if (const auto change = m_pool.backpressure().mergePeer(limit, now))
            logRateLimit(*change, node, now - limit.m_heardAt);
    }
    if (report.m_leaving.empty())
        return;
    // What has left is not remembered for peers that still do, or it would be told in a circle.
    const std::set<UpstreamProcess> known = present();
    for (const UpstreamProcess &process : report.m_leaving) {
        if (known.contains(process))
            recordLeaving(process, node);
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

std::set<UpstreamProcess> EntryBackpressure::present() const
{
    std::set<UpstreamProcess> processes;
    for (const auto &[id, upstream] : m_pool.upstreams())
        processes.insert(upstream->process());
    return processes;
}

/// Returns the upstreams whose entries don't say that they leave. Of the others every VM knows it
/// from its list.
std::set<UpstreamProcess> EntryBackpressure::listedAsReady() const
{
    std::set<UpstreamProcess> processes;
    for (const auto &[id, upstream] : m_pool.upstreams()) {
        if (!upstream->m_record.m_isDraining)
            processes.insert(upstream->process());
    }
    return processes;
}

BackpressureReport EntryBackpressure::report()
{
    const TimePoint now = m_clock.now();
    UpstreamBackpressure &backpressure = m_pool.backpressure();
    if (backpressure.isEmpty())
        return {};
    const std::set<UpstreamProcess> known = present();
    backpressure.removeExpired(known, now);
    m_metrics.set(Gauge::LimitedUpstreams, static_cast<std::int64_t>(backpressure.limitedCount()));
    return backpressure.report(listedAsReady(), now);
}

Duration EntryBackpressure::returnDelay(const ServiceId &service, const BackpressureWait &wait)
{
    m_metrics.add(Counter::BackpressureRejections);
    return m_returns.next(service, wait.m_first, wait.m_perSecond, m_clock.now());
}

/// Logs that the request rate of an upstream is limited, limited otherwise, or no longer.
void EntryBackpressure::logRateLimit(const RateLimitChange &change, std::string_view source,
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
