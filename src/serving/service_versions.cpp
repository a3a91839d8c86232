#include <gypsumdale/serving/service_versions.hpp>

namespace gypsumdale {

std::map<ServiceId, SoftwareVersions>
versionsByService(const std::map<UpstreamId, UpstreamRecord> &upstreams)
{
    std::map<ServiceId, SoftwareVersions> versions;
    for (const auto &[id, record] : upstreams)
        versions[record.m_service].insert(record.m_softwareVersion);
    return versions;
}

std::string versionsText(const SoftwareVersions &versions)
{
    std::string text;
    for (const SoftwareVersion &version : versions) {
        if (!text.empty())
            text += ' ';
        text += version.isEmpty() ? "unknown" : version.text();
    }
    return text;
}

} // namespace gypsumdale
