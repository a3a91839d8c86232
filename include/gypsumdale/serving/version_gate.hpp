#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/rollout.hpp>
#include <gypsumdale/serving/service_versions.hpp>
#include <gypsumdale/serving/upstream_record.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <set> // set

namespace gypsumdale {

/// Upstreams of a service on which one request may be placed.
struct VersionScope
{
    /// Versions that may be used. Upstreams whose version is unknown may always be.
    std::set<SoftwareVersion> m_versions;
    /// Upstreams that may be used; empty for all of these versions.
    std::set<UpstreamId> m_upstreams;
    /// The request is one of those that a new version gets.
    bool m_isCanary = false;

    bool allows(const UpstreamRecord &upstream) const
    {
        if (upstream.m_softwareVersion.isEmpty())
            return !m_isCanary;
        return m_versions.contains(upstream.m_softwareVersion)
               && (m_upstreams.empty() || m_upstreams.contains(upstream.m_id));
    }
};

/// Decides on which versions of a service this VM places requests. It keeps no counts: each
/// placement is drawn by itself, so that the part of a new version over the whole fleet is the same
/// however often VMs are killed or cut off from each other.
///
/// A version that nobody has vouched for is closed: it may be the target of a roll-out of which
/// this VM doesn't know. Only if nothing was ever learned of a service, the version that most of
/// its upstreams run is open.
class VersionGate
{
public:
    /// Applies the list of upstreams. Complexity: linear.
    void setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams);

    /// Applies what the deciding VM has answered. Complexity: linear in the services.
    void setAccess(const std::map<ServiceId, VersionAccess> &access);

    /// Ends the lease of a service for good, until another target is leased, as this VM has found
    /// its target to be bad.
    void distrust(const ServiceId &service);

    /// Returns whether the deciding VM is to be asked: a version is neither open nor closed, or a
    /// version is closed that may be opened. Complexity: linear in the services.
    bool needsAnswer() const;

    /// Returns whether that is urgent: a version is neither open nor closed, or a version is
    /// leased. Complexity: linear in the services.
    bool isUndecided() const;

    /// Returns whether the versions of a service make a difference. Complexity: logarithmic.
    bool isRestricted(const ServiceId &service) const { return m_restricted.contains(service); }

    /// Returns the upstreams for a placement. `drawn` is a random number from 0 to 1. A placement
    /// that repeats another one is no canary. Complexity: linear in the service's versions.
    VersionScope scope(const ServiceId &service, double drawn, bool isRepeat, TimePoint now) const;

    /// Returns the upstreams of the open versions.
    VersionScope openScope(const ServiceId &service) const;

    /// Returns the upstreams for work that goes on at the version where it began: none where that
    /// is closed and not leased.
    VersionScope boundScope(const ServiceId &service, const SoftwareVersion &version,
                            TimePoint now) const;

    /// Returns the target of a service's roll-out under way, or an empty one.
    SoftwareVersion target(const ServiceId &service) const;

    /// Returns what is known of a service's versions.
    const std::map<ServiceId, VersionAccess> &access() const { return m_access; }

private:
    void assumeOpen(const ServiceId &service);
    void updateRestrictions();

    std::map<ServiceId, std::map<SoftwareVersion, std::size_t>> m_present;
    std::map<ServiceId, VersionAccess> m_access;
    std::set<ServiceId> m_restricted;
    std::map<ServiceId, SoftwareVersion> m_distrusted;
};

} // namespace gypsumdale
