#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/serving/canary_evidence.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/version_gate.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// What this VM has counted for a service with a roll-out since its start.
struct RolloutCounts
{
    SoftwareVersion m_target;
    CanaryEvidence m_answers;
    /// Requests under way at upstreams of other versions.
    std::int64_t m_runningAtOthers = 0;
};

/// Roll-outs as seen by one VM's traffic thread: where requests may be placed, and how they were
/// answered.
class EntryRollouts
{
public:
    /// `isUsed` tells whether a VM of the fleet decides on roll-outs; if not, all versions are
    /// open.
    EntryRollouts(bool isUsed, const UpstreamPool &pool, const Clock &clock, Metrics &metrics)
        : m_isUsed(isUsed)
        , m_pool(pool)
        , m_clock(clock)
        , m_metrics(metrics)
    {}

    void setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams)
    {
        m_gate.setUpstreams(upstreams);
    }
    void setAccess(const std::map<ServiceId, VersionAccess> &access);
    void distrust(const ServiceId &service) { m_gate.distrust(service); }

    /// Returns the upstreams for a placement; see VersionGate::scope. This and the following ones
    /// return nothing where all may be used.
    std::optional<VersionScope> scope(const ServiceId &service, double drawn, bool isRepeat) const
    {
        if (!m_isUsed)
            return std::nullopt;
        return m_gate.scope(service, drawn, isRepeat, m_clock.now());
    }
    /// Returns those for a placement that a new version can't take.
    std::optional<VersionScope> openScope(const ServiceId &service) const
    {
        if (!m_isUsed)
            return std::nullopt;
        return m_gate.openScope(service);
    }
    /// Returns those for work that goes on at the version where it began.
    std::optional<VersionScope> boundScope(const ServiceId &service,
                                           const SoftwareVersion &version) const
    {
        if (!m_isUsed)
            return std::nullopt;
        return m_gate.boundScope(service, version, m_clock.now());
    }

    /// Counts a placement on a new version.
    void recordCanary() { m_metrics.add(Counter::CanaryPlacements); }

    /// Counts an answer of an upstream, if its service has a roll-out. Complexity: logarithmic.
    void recordAnswer(const std::string &route, const UpstreamRecord &upstream, bool isError,
                      Duration time);

    /// Returns what was counted. Complexity: linear in the upstreams.
    std::map<ServiceId, RolloutCounts> counts() const;

private:
    struct ServiceEvidence
    {
        SoftwareVersion m_target;
        CanaryEvidence m_answers;
    };

    bool m_isUsed;
    const UpstreamPool &m_pool;
    const Clock &m_clock;
    Metrics &m_metrics;
    VersionGate m_gate;
    std::map<ServiceId, ServiceEvidence> m_evidence;
};

} // namespace gypsumdale
