#pragma once

#include "standins/cloud_server.hpp"
#include "standins/engine.hpp"
#include "standins/json_fields.hpp"
#include "standins/platform_server.hpp"
#include "standins/service_server.hpp"

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/core/result.hpp>

#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale::standins {

/// The system that a stand-in simulates.
enum class Role { Engine, Service, Platform, Cloud };

inline constexpr NameTable<Role, 4> roleNames = {{
        {Role::Engine, "engine"},
        {Role::Service, "service"},
        {Role::Platform, "platform"},
        {Role::Cloud, "cloud"},
}};

/// Settings of one role; the variant's alternative is the role.
using RoleSettings = std::variant<EngineSettings, ServiceSettings, PlatformSettings, CloudSettings>;

/// Settings of one stand-in: its address, its role and its VM in the cloud.
struct InstanceSettings
{
    std::string m_name;
    Endpoint m_listen;
    RoleSettings m_role;
    /// The VM that the fleet's cloud lists for this stand-in; not listed if the zone is empty.
    Vm m_vm;
};

/// Settings of the stand-ins that share a process.
struct FleetSettings
{
    /// Address of the control socket; an empty address opens none.
    Endpoint m_control;
    int m_loops = 1;
    std::vector<InstanceSettings> m_instances;
};

/// Reads one entry of "instances". A "count" above 1 makes that many copies, with names that end
/// with -1, -2 and so on, and with consecutive ports unless the port is 0. The error names the
/// wrong key or value.
Result<std::vector<InstanceSettings>> readInstances(const Json &json);

/// Reads a fleet's configuration. The error names the first wrong key or value.
Result<FleetSettings> readFleet(const Json &json);

/// Reads "ADDRESS:PORT". Fails with SettingsOutOfRange.
Result<Endpoint> readEndpoint(std::string_view text);

} // namespace gypsumdale::standins
