#include <gypsumdale/entry/entry_rollouts.hpp>

namespace gypsumdale {

void EntryRollouts::setAccess(const std::map<ServiceId, VersionAccess> &access)
{
    m_gate.setAccess(access);
    for (const auto &[service, told] : access) {
        if (!told.m_lease)
            continue;
        ServiceEvidence &evidence = m_evidence[service];
        if (evidence.m_target != told.m_lease->m_target)
            evidence = ServiceEvidence{told.m_lease->m_target, {}};
    }
    std::erase_if(m_evidence,
                  [this](const auto &entry) { return !m_gate.isRestricted(entry.first); });
}

void EntryRollouts::recordAnswer(const std::string &route, const UpstreamRecord &upstream,
                                 bool isError, Duration time)
{
    const auto found = m_evidence.find(upstream.m_service);
    if (found == m_evidence.end())
        return;
    const bool isTarget = upstream.m_softwareVersion == found->second.m_target;
    const EvidenceKey key{route, isTarget ? upstream.m_id : UpstreamId()};
    found->second.m_answers[key].add(isError, time);
    if (isTarget && isError)
        m_metrics.add(Counter::CanaryErrors);
}

std::map<ServiceId, RolloutCounts> EntryRollouts::counts() const
{
    std::map<ServiceId, RolloutCounts> counts;
    for (const auto &[service, evidence] : m_evidence)
        counts[service] = RolloutCounts{evidence.m_target, evidence.m_answers, 0};
    for (const auto &[id, upstream] : m_pool.upstreams()) {
        const auto found = counts.find(upstream->m_record.m_service);
        if (found != counts.end() && upstream->m_record.m_softwareVersion != found->second.m_target)
            found->second.m_runningAtOthers += upstream->m_own.m_running;
    }
    return counts;
}

} // namespace gypsumdale
