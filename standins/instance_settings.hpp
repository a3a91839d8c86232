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

/// What a stand-in plays.
enum class Role { Engine, Service, Platform, Cloud };

inline constexpr NameTable<Role, 4> roleNames = {{
        {Role::Engine, "engine"},
        {Role::Service, "service"},
        {Role::Platform, "platform"},
        {Role::Cloud, "cloud"},
}};

/// The settings of one role; the alternative says which.
using RoleSettings = std::variant<EngineSettings, ServiceSettings, PlatformSettings, CloudSettings>;

/// One stand-in: where it listens, what it plays and which VM it is to the cloud.
struct InstanceSettings
{
    std::string m_name;
    Endpoint m_listen;
    RoleSettings m_role;
    /// The VM that the fleet's cloud lists for it; without a zone it lists none.
    Vm m_vm;
};

/// Stand-ins that share a process.
struct FleetSettings
{
    /// Where the control calls are answered; with an empty address, nowhere.
    Endpoint m_control;
    int m_loops = 1;
    std::vector<InstanceSettings> m_instances;
};

/// Reads one entry of "instances", which its "count" may multiply: the names then get -1, -2 and so
/// on, and ports other than 0 count up. Fails with the key or value that is wrong.
Result<std::vector<InstanceSettings>> readInstances(const Json &json);

/// Reads a fleet's configuration. Fails with the first wrong key or value.
Result<FleetSettings> readFleet(const Json &json);

/// Reads "ADDRESS:PORT". Fails with SettingsOutOfRange.
Result<Endpoint> readEndpoint(std::string_view text);

} // namespace gypsumdale::standins
