#include <gypsumdale/fleet/probe_duty.hpp>
#include <gypsumdale/fleet/rendezvous.hpp>

#include <algorithm> // clamp, find
#include <chrono> // duration_cast
#include <utility> // move

namespace gypsumdale {

ProbeOwners::ProbeOwners(std::vector<NodeId> nodes)
    : m_nodes(std::move(nodes))
{}

bool ProbeOwners::includes(const NodeId &node) const
{
    return std::find(m_nodes.begin(), m_nodes.end(), node) != m_nodes.end();
}

ProbeDuty::ProbeDuty(const UpstreamTableSettings &settings)
    : m_nodes({settings.m_self})
    , m_ownersPerUpstream(settings.m_owners)
    , m_fullMeshLimit(settings.m_fullMeshLimit)
    , m_minInterval(settings.m_probeInterval)
    , m_maxInterval(settings.m_longestProbeInterval)
    , m_probesPerSecond(settings.m_probesPerSecond)
{}

bool ProbeDuty::setNodes(const std::vector<NodeId> &nodes)
{
    if (nodes == m_nodes)
        return false;
    m_nodes = nodes;
    return true;
}

ProbeOwners ProbeDuty::ownersOf(const UpstreamId &upstream) const
{
    return ProbeOwners(rendezvousChoice(upstream.text(), m_nodes, m_ownersPerUpstream));
}

Duration ProbeDuty::interval() const
{
    const std::chrono::duration<double> affordable(static_cast<double>(m_owned)
                                                   / m_probesPerSecond);
    const auto wanted = std::chrono::duration_cast<Duration>(affordable);
    return std::clamp(wanted, m_minInterval, m_maxInterval);
}

} // namespace gypsumdale
