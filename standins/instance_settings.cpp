#include "standins/instance_settings.hpp"

#include <fmt/format.h>

#include <charconv> // from_chars
#include <set> // set
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr int maxInstances = 4096;
constexpr int maxLoops = 12;

/// Reads the fields of a JSON object and records their names, so that unknown fields are reported.
class FieldReader
{
public:
    explicit FieldReader(const Json &json)
        : m_json(json)
    {}

    void read(const char *name, std::string &value)
    {
        m_known.insert(name);
        value = textField(m_json, name, value);
    }
    void read(const char *name, bool &value)
    {
        m_known.insert(name);
        value = flagField(m_json, name, value);
    }
    void read(const char *name, Duration &value)
    {
        m_known.insert(name);
        value = fromMillis(numberField(m_json, name).value_or(toMillis(value)));
    }
    template <typename Number>
    void read(const char *name, Number &value)
    {
        m_known.insert(name);
        if (const auto number = numberField(m_json, name))
            value = static_cast<Number>(*number);
    }
    const Json &list(const char *name)
    {
        static const Json empty = Json::array();
        m_known.insert(name);
        const auto found = m_json.find(name);
        return found != m_json.end() && found->is_array() ? *found : empty;
    }

    Result<Done> finish() const
    {
        for (const auto &[name, value] : m_json.items()) {
            if (!m_known.contains(name))
                return Error{ErrorId::SettingsUnknownKey, fmt::format("unknown key '{}'", name)};
        }
        return Done{};
    }

private:
    const Json &m_json;
    std::set<std::string> m_known;
};

EngineSettings readEngine(FieldReader &reader)
{
    EngineSettings settings;
    reader.read("model", settings.m_model);
    reader.read("slots", settings.m_slots);
    reader.read("prefillTokensPerSecond", settings.m_prefillTokensPerSecond);
    reader.read("tokenMillis", settings.m_tokenTime);
    reader.read("tokenGrowthMillis", settings.m_tokenTimeGrowth);
    reader.read("loadLagMillis", settings.m_loadLag);
    reader.read("cacheBlocks", settings.m_cacheBlocks);
    reader.read("cacheEventLagMillis", settings.m_cacheEventLag);
    reader.read("cacheEventGap", settings.m_cacheEventGap);
    reader.read("checksFences", settings.m_checksFences);
    reader.read("incarnation", settings.m_incarnation);
    return settings;
}

ServiceSettings readService(FieldReader &reader)
{
    ServiceSettings settings;
    reader.read("service", settings.m_name);
    reader.read("delayMillis", settings.m_delay);
    reader.read("slots", settings.m_slots);
    reader.read("incarnation", settings.m_incarnation);
    return settings;
}

PlatformSettings readPlatform(FieldReader &reader)
{
    PlatformSettings settings;
    reader.read("writesPerSecond", settings.m_writesPerSecond);
    reader.read("readsPerSecond", settings.m_readsPerSecond);
    reader.read("latencyMillis", settings.m_latency);
    reader.read("maxEvents", settings.m_limits.m_events);
    return settings;
}

CloudSettings readCloud(FieldReader &reader)
{
    CloudSettings settings;
    reader.read("listLagMillis", settings.m_listLag);
    reader.read("startMillis", settings.m_startTime);
    settings.m_vms = readVms(reader.list("vms"));
    settings.m_prices = readPrices(reader.list("prices"));
    return settings;
}

RoleSettings readRole(Role role, FieldReader &reader)
{
    switch (role) {
    case Role::Engine:
        return readEngine(reader);
    case Role::Service:
        return readService(reader);
    case Role::Platform:
        return readPlatform(reader);
    case Role::Cloud:
        return readCloud(reader);
    }
    return EngineSettings{};
}

std::string serviceOf(const RoleSettings &role)
{
    return std::visit(Overloaded{[](const EngineSettings &settings) { return settings.m_model; },
                                 [](const ServiceSettings &settings) { return settings.m_name; },
                                 [](const auto &) {
                                     return std::string();
                                 }},
                      role);
}

std::vector<InstanceSettings> multiply(const InstanceSettings &instance, int count)
{
    std::vector<InstanceSettings> instances;
    for (int number = 0; number < count; ++number) {
        InstanceSettings copy = instance;
        if (count > 1)
            copy.m_name += fmt::format("-{}", number + 1);
        if (copy.m_listen.m_port != 0)
            copy.m_listen.m_port = static_cast<std::uint16_t>(copy.m_listen.m_port + number);
        copy.m_vm.m_id = copy.m_name;
        instances.push_back(std::move(copy));
    }
    return instances;
}

} // namespace

Result<Endpoint> readEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const Error error{ErrorId::SettingsOutOfRange, fmt::format("'{}' is not ADDRESS:PORT", text)};
    if (colon == std::string_view::npos || colon == 0)
        return error;
    Endpoint endpoint;
    endpoint.m_address = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, endpoint.m_port);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return error;
    return endpoint;
}

Result<std::vector<InstanceSettings>> readInstances(const Json &json)
{
    if (!json.is_object())
        return Error{ErrorId::SettingsWrongType, "an instance is not a JSON object"};
    const std::string roleName = textField(json, "role");
    const auto role = enumFromName(roleNames, roleName);
    if (!role)
        return Error{ErrorId::SettingsUnknownName, fmt::format("unknown role '{}'", roleName)};
    FieldReader reader(json);
    InstanceSettings instance;
    std::string listen = "127.0.0.1:0";
    std::string ignored;
    int count = 1;
    reader.read("role", ignored);
    instance.m_name = roleName;
    reader.read("name", instance.m_name);
    reader.read("listen", listen);
    reader.read("count", count);
    reader.read("zone", instance.m_vm.m_zone);
    reader.read("class", instance.m_vm.m_class);
    reader.read("reclaimable", instance.m_vm.m_reclaimable);
    instance.m_role = readRole(*role, reader);
    instance.m_vm.m_service = serviceOf(instance.m_role);
    reader.read("service", instance.m_vm.m_service);
    if (const auto finished = reader.finish(); !succeeded(finished))
        return errorOf(finished);
    if (count < 1 || count > maxInstances)
        return Error{ErrorId::SettingsOutOfRange, "\"count\" is out of range"};
    auto endpoint = readEndpoint(listen);
    if (!succeeded(endpoint))
        return errorOf(endpoint);
    instance.m_listen = valueOf(std::move(endpoint));
    instance.m_vm.m_address = instance.m_listen.m_address;
    return multiply(instance, count);
}

Result<FleetSettings> readFleet(const Json &json)
{
    if (!json.is_object())
        return Error{ErrorId::SettingsSyntax, "the configuration is not a JSON object"};
    FieldReader reader(json);
    FleetSettings fleet;
    std::string control = "127.0.0.1:0";
    reader.read("control", control);
    reader.read("loops", fleet.m_loops);
    const Json &instances = reader.list("instances");
    if (const auto finished = reader.finish(); !succeeded(finished))
        return errorOf(finished);
    if (fleet.m_loops < 1 || fleet.m_loops > maxLoops)
        return Error{ErrorId::SettingsOutOfRange, "\"loops\" is out of range"};
    auto endpoint = readEndpoint(control);
    if (!succeeded(endpoint))
        return errorOf(endpoint);
    fleet.m_control = valueOf(std::move(endpoint));
    for (const Json &entry : instances) {
        auto read = readInstances(entry);
        if (!succeeded(read))
            return errorOf(read);
        for (InstanceSettings &instance : valueOf(read))
            fleet.m_instances.push_back(std::move(instance));
    }
    return fleet;
}

} // namespace gypsumdale::standins
