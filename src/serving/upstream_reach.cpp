#include <gypsumdale/serving/upstream_reach.hpp>

#include <algorithm> // min

namespace gypsumdale {

bool UpstreamReach::recordConnected(const ServiceId &service)
{
    m_failures.erase(service);
    return m_cutOff.erase(service) > 0;
}

bool UpstreamReach::recordUnreachable(const ServiceId &service, const UpstreamId &upstream,
                                      std::size_t known, TimePoint now)
{
    Failures &failures = m_failures[service];
    std::erase_if(failures,
                  [now](const auto &failure) { return now - failure.second > failureMemory; });
    failures[upstream] = now;
    return failures.size() >= std::min(known, unreachableUpstreams) && !isCutOff(service);
}

bool UpstreamReach::hasFailed(const ServiceId &service, const UpstreamId &upstream) const
{
    const auto failures = m_failures.find(service);
    return failures != m_failures.end() && failures->second.contains(upstream);
}

} // namespace gypsumdale
