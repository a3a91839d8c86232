#pragma once

#include <gypsumdale/serving/upstream_record.hpp>

#include <map> // map
#include <set> // set
#include <string> // string

namespace gypsumdale {

/// Software versions that a service's upstreams run side by side.
using SoftwareVersions = std::set<SoftwareVersion>;

/// Returns the software versions of each service's upstreams. Complexity: linear in the upstreams.
std::map<ServiceId, SoftwareVersions>
versionsByService(const std::map<UpstreamId, UpstreamRecord> &upstreams);

/// Returns versions as a text for logs, such as "v1 v1.1", with "unknown" for an empty one.
std::string versionsText(const SoftwareVersions &versions);

} // namespace gypsumdale
