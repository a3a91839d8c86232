#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <set> // set

namespace gypsumdale {

/// Which services this VM is cut off from, judged by the connections that it opens.
///
/// One upstream that can't be reached may have failed. If several different ones can't be reached
/// and no connection to any other is opened in between, this VM may be cut off, while other VMs
/// still reach them; so may it be if many upstreams are down. It is cut off once all of them were
/// tried in vain, see ReachCheck. Each service is judged by itself, as the paths to only one of
/// them may be cut. Connections that were opened before a cut may live on, so answers on them prove
/// nothing.
class UpstreamReach
{
public:
    /// Number of different upstreams that must be unreachable; all of them where a service has
    /// fewer.
    static constexpr std::size_t unreachableUpstreams = 3;
    /// Time for which a failed connection counts: longer than the connections of one request take.
    static constexpr Duration failureMemory = std::chrono::seconds(2);

    /// Records a connection to an upstream. Returns whether the service counted as cut off until
    /// now. Complexity: logarithmic in the number of services.
    bool recordConnected(const ServiceId &service);

    /// Records a connection that was refused or not answered. `known` is the number of upstreams of
    /// the service. Returns whether so many have failed that the VM may be cut off from a service
    /// that doesn't count as cut off yet. Complexity: linear in the failed upstreams.
    bool recordUnreachable(const ServiceId &service, const UpstreamId &upstream, std::size_t known,
                           TimePoint now);

    /// Records that all upstreams of a service were tried in vain. Returns whether the service
    /// counts as cut off from now on: not if a connection was opened meanwhile. Complexity:
    /// logarithmic in the number of services.
    bool recordCutOff(const ServiceId &service)
    {
        return m_failures.contains(service) && m_cutOff.insert(service).second;
    }

    /// Complexity: logarithmic in the number of services.
    bool isCutOff(const ServiceId &service) const { return m_cutOff.contains(service); }
    const std::set<ServiceId> &cutOffServices() const { return m_cutOff; }

    /// Returns whether a connection to an upstream has failed since the last one that was opened to
    /// its service. Complexity: logarithmic.
    bool hasFailed(const ServiceId &service, const UpstreamId &upstream) const;

private:
    /// Times of the last failed connections since one was opened, by upstream.
    using Failures = std::map<UpstreamId, TimePoint>;

    std::map<ServiceId, Failures> m_failures;
    std::set<ServiceId> m_cutOff;
};

} // namespace gypsumdale
