#include <gypsumdale/serving/version_gate.hpp>

#include <algorithm> // any_of, max_element

namespace gypsumdale {

namespace {

using VersionCounts = std::map<SoftwareVersion, std::size_t>;

bool hasOpen(const VersionCounts &present, const VersionAccess &access)
{
    return std::any_of(present.begin(), present.end(), [&access](const auto &entry) {
        return access.m_open.contains(entry.first);
    });
}

bool hasLease(const VersionAccess &access, TimePoint now)
{
    return access.m_lease && now < access.m_lease->m_validUntil;
}

bool isKnown(const SoftwareVersion &version, const VersionAccess &access)
{
    return access.m_open.contains(version) || access.m_closed.contains(version);
}

} // namespace

void VersionGate::setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams)
{
    m_present.clear();
    for (const auto &[id, record] : upstreams) {
        if (!record.m_softwareVersion.isEmpty())
            ++m_present[record.m_service][record.m_softwareVersion];
    }
    for (const auto &[service, versions] : m_present)
        assumeOpen(service);
    updateRestrictions();
}

/// Opens a version of a service of which nothing is known.
void VersionGate::assumeOpen(const ServiceId &service)
{
    VersionAccess &access = m_access[service];
    const VersionCounts &present = m_present[service];
    if (!access.m_open.empty() || !access.m_closed.empty())
        return;
    const auto most = std::max_element(
            present.begin(), present.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    access.m_open.insert(most->first);
}

void VersionGate::setAccess(const std::map<ServiceId, VersionAccess> &access)
{
    for (const auto &[service, told] : access) {
        VersionAccess &known = m_access[service];
        known = told;
        const auto distrusted = m_distrusted.find(service);
        if (distrusted == m_distrusted.end() || !known.m_lease)
            continue;
        if (known.m_lease->m_target == distrusted->second)
            known.m_lease.reset();
        else
            m_distrusted.erase(distrusted);
    }
    updateRestrictions();
}

void VersionGate::distrust(const ServiceId &service)
{
    VersionAccess &access = m_access[service];
    if (!access.m_lease)
        return;
    m_distrusted[service] = access.m_lease->m_target;
    access.m_lease.reset();
}

void VersionGate::updateRestrictions()
{
    m_restricted.clear();
    for (const auto &[service, present] : m_present) {
        const VersionAccess &access = m_access[service];
        for (const auto &[version, count] : present) {
            if (!access.m_open.contains(version))
                m_restricted.insert(service);
        }
    }
}

bool VersionGate::needsAnswer() const
{
    return !m_restricted.empty();
}

bool VersionGate::isUndecided() const
{
    return std::any_of(m_restricted.begin(), m_restricted.end(), [this](const ServiceId &service) {
        const VersionAccess &access = m_access.at(service);
        const VersionCounts &present = m_present.at(service);
        return access.m_lease.has_value()
               || std::any_of(present.begin(), present.end(), [&access](const auto &entry) {
                      return !isKnown(entry.first, access);
                  });
    });
}

SoftwareVersion VersionGate::target(const ServiceId &service) const
{
    const auto found = m_access.find(service);
    if (found == m_access.end() || !found->second.m_lease)
        return SoftwareVersion();
    return found->second.m_lease->m_target;
}

VersionScope VersionGate::scope(const ServiceId &service, double drawn, bool isRepeat,
                                TimePoint now) const
{
    const auto found = m_access.find(service);
    if (found == m_access.end() || !hasLease(found->second, now))
        return openScope(service);
    const ExposureLease &lease = *found->second.m_lease;
    const bool isDrawn = !isRepeat && drawn < lease.m_share;
    if (!isDrawn && lease.m_share < 1)
        return openScope(service);
    return VersionScope{{lease.m_target}, lease.m_upstreams, true};
}

VersionScope VersionGate::openScope(const ServiceId &service) const
{
    VersionScope scope;
    const auto found = m_access.find(service);
    if (found == m_access.end())
        return scope;
    const VersionAccess &access = found->second;
    scope.m_versions = access.m_open;
    const auto present = m_present.find(service);
    if (present == m_present.end() || hasOpen(present->second, access))
        return scope;
    // All upstreams of the known versions have gone, so that others were meant to replace them. A
    // version that was told to be closed is not.
    for (const auto &[version, count] : present->second) {
        if (!isKnown(version, access))
            scope.m_versions.insert(version);
    }
    return scope;
}

VersionScope VersionGate::boundScope(const ServiceId &service, const SoftwareVersion &version,
                                     TimePoint now) const
{
    const auto found = m_access.find(service);
    const bool isLeased = found != m_access.end() && hasLease(found->second, now)
                          && found->second.m_lease->m_target == version;
    if (isLeased)
        return VersionScope{{version}, {}, true};
    return openScope(service);
}

} // namespace gypsumdale
