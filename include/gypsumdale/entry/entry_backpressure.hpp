#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_message.hpp>
#include <gypsumdale/serving/return_pacing.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstddef> // size_t
#include <set> // set
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// What upstreams ask for in their answers, as one VM's traffic thread hears it from them and from
/// its peers, and what callers are told when there is no upstream left because of it.
class EntryBackpressure
{
public:
    EntryBackpressure(const NodeId &node, UpstreamPool &pool, const Clock &clock, Logger &log,
                      Metrics &metrics);

    /// Records what an upstream's answer says. Must be called for each answer whose header was
    /// received and that comes from this upstream's process, whatever becomes of the answer.
    void recordAnswer(const UpstreamProcess &process, int status, const HttpHeaders &headers);
    /// Records what an answer says that a peer has relayed. The rest that it may ask for concerns
    /// the peer.
    void recordRelayedAnswer(const UpstreamProcess &process, const HttpHeaders &headers);

    /// Records a peer that reports to this VM, with what it heard from upstreams.
    void setPeer(const std::string &node, const BackpressureReport &report);
    void removePeer(const std::string &node);
    void setFleetSize(std::size_t vms);

    /// Returns what this VM heard, for its peers. Removes what is out of date. Complexity: linear
    /// in the upstreams.
    BackpressureReport report();

    /// Returns the time after which the caller of a rejected request may return.
    Duration returnDelay(const ServiceId &service, const BackpressureWait &wait);

private:
    void recordSignal(const UpstreamProcess &process, const BackpressureSignal &signal);
    void recordRest(const UpstreamProcess &process, Duration rest);
    void recordLeaving(const UpstreamProcess &process, std::string_view source);
    std::set<UpstreamProcess> present() const;
    std::set<UpstreamProcess> listedAsReady() const;
    void logRateLimit(const RateLimitChange &change, std::string_view source, Duration age);

    UpstreamPool &m_pool;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    ReturnPacing m_returns;
};

} // namespace gypsumdale
