#include "detail/schema.hpp"

#include <gypsumdale/settings/fleet_settings.hpp>

#include <algorithm> // find_if

namespace gypsumdale {

namespace {

using namespace detail;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t maxDataCentres = 64;
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxLimits = 1024;
constexpr int maxVms = 100000;

Schema<DataCentreSettings> dataCentreSchema()
{
    Schema<DataCentreSettings> schema;
    schema.required("name", &DataCentreSettings::m_id, IdKind<DataCentreId>(),
                    "the data centre; the cloud's zone")
            .required("region", &DataCentreSettings::m_region, IdKind<RegionId>(),
                      "the region it lies in")
            .key("price-weight", &DataCentreSettings::m_priceWeight, NumberKind(0.01, 100),
                 "multiplies its prices when places are compared");
    return schema;
}

Schema<ServiceSettings> serviceSchema()
{
    Schema<ServiceSettings> schema;
    schema.required("name", &ServiceSettings::m_id, IdKind<ServiceId>(),
                    "the service as requests name it")
            .required("kind", &ServiceSettings::m_kind, EnumKind(serviceKindNames),
                      "what answers its requests: model engines or a plain service")
            .key("routing", &ServiceSettings::m_routing, NameKind(),
                 "the routing policy; empty takes the fleet's")
            .key("concurrency", &ServiceSettings::m_concurrency, IntegerKind(1, 100000),
                 "requests in flight to one upstream that reports no slots");
    return schema;
}

Schema<ScalingLimits> limitsSchema()
{
    Schema<ScalingLimits> schema;
    schema.required("service", &ScalingLimits::m_service, IdKind<ServiceId>(), "the service")
            .required("data-centre", &ScalingLimits::m_dataCentre, IdKind<DataCentreId>(),
                      "the data centre")
            .required("class", &ScalingLimits::m_vmClass, NameKind(), "the machine class")
            .key("min", &ScalingLimits::m_minimum, IntegerKind(0, maxVms), "the fewest VMs")
            .required("max", &ScalingLimits::m_maximum, IntegerKind(0, maxVms), "the most VMs");
    return schema;
}

Schema<ScalingSettings> scalingSchema()
{
    const auto identity = [](const ScalingLimits &limits) {
        return limits.m_service.text() + " " + limits.m_dataCentre.text() + " " + limits.m_vmClass;
    };
    Schema<ScalingSettings> schema;
    schema.key("limits", &ScalingSettings::m_limits,
               ListKind(MapKind(limitsSchema()), maxLimits, identity),
               "bounds per service, data centre and machine class")
            .key("survive-data-centre-loss", &ScalingSettings::m_surviveDataCentreLoss, FlagKind(),
                 "whether the rest must carry the load when the largest data centre is lost")
            .key("target-use", &ScalingSettings::m_targetUse, NumberKind(0.05, 1),
                 "the share of slots in use that scaling aims at")
            .key("interval", &ScalingSettings::m_interval, DurationKind(seconds(1), hours(1)),
                 "the shortest time between two decisions on one service");
    return schema;
}

Schema<DrainTimes> drainSchema()
{
    Schema<DrainTimes> schema;
    schema.key("readiness-lead", &DrainTimes::m_readinessLead,
               DurationKind(milliseconds(0), minutes(10)),
               "from failing readiness until new connections are refused")
            .key("node", &DrainTimes::m_node, DurationKind(seconds(0), hours(24)),
                 "the longest wait for requests in flight at a planned stop")
            .key("upstream", &DrainTimes::m_upstream, DurationKind(seconds(0), hours(24)),
                 "the longest wait for requests in flight on an upstream that leaves");
    return schema;
}

const Schema<FleetSettings> &fleetSchema()
{
    static const auto schema = [] {
        const auto dataCentreName = [](const DataCentreSettings &settings) {
            return settings.m_id.text();
        };
        const auto serviceName = [](const ServiceSettings &settings) {
            return settings.m_id.text();
        };
        Schema<FleetSettings> table;
        table.required("data-centres", &FleetSettings::m_dataCentres,
                       ListKind(MapKind(dataCentreSchema()), maxDataCentres, dataCentreName),
                       "the data centres of the fleet")
                .required("services", &FleetSettings::m_services,
                          ListKind(MapKind(serviceSchema()), maxServices, serviceName),
                          "the services that requests may name")
                .key("routing", &FleetSettings::m_routing, NameKind(),
                     "the routing policy where neither profile nor service names one")
                .key("retry-ratio", &FleetSettings::m_retryRatio, NumberKind(0, 1),
                     "retries and hedges as a share of first attempts")
                .key("drain", &FleetSettings::m_drain, MapKind(drainSchema()),
                     "times of a graceful stop")
                .key("job-retention", &FleetSettings::m_jobRetention,
                     DurationKind(minutes(1), hours(24 * 30)),
                     "how long a finished job's answer is kept")
                .key("key-retention", &FleetSettings::m_keyRetention,
                     DurationKind(minutes(1), hours(24 * 30)),
                     "how long an idempotency key is remembered where the profile doesn't say")
                .key("scaling", &FleetSettings::m_scaling, MapKind(scalingSchema()),
                     "bounds and aims of renting VMs")
                .key("member-weight", &FleetSettings::m_memberWeight, NumberKind(0.001, 1000),
                     "weight of a member that has none of its own");
        return table;
    }();
    return schema;
}

void checkLimits(const FleetSettings &settings, const YAML::Node &root, Reader &reader)
{
    const auto list = nodeAt(root, {"scaling", "limits"});
    const auto &limits = settings.m_scaling.m_limits;
    if (!list.IsSequence() || list.size() != limits.size())
        return;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const auto &limit = limits[i];
        const YAML::Node entry = list[i];
        if (limit.m_minimum > limit.m_maximum)
            reader.add(ErrorId::SettingsContradiction, nodeAt(entry, {"min"}),
                       fmt::format("min {} is above max {}", limit.m_minimum, limit.m_maximum));
        if (!limit.m_service.isEmpty() && !settings.service(limit.m_service))
            reader.add(ErrorId::SettingsUnknownName, nodeAt(entry, {"service"}),
                       fmt::format("no service is named {}", limit.m_service.text()));
        if (!limit.m_dataCentre.isEmpty() && !settings.dataCentre(limit.m_dataCentre))
            reader.add(ErrorId::SettingsUnknownName, nodeAt(entry, {"data-centre"}),
                       fmt::format("no data centre is named {}", limit.m_dataCentre.text()));
    }
}

void checkContradictions(const FleetSettings &settings, const YAML::Node &root, Reader &reader)
{
    for (const char *key : {"data-centres", "services"}) {
        const auto list = nodeAt(root, {key});
        if (list.IsSequence() && list.size() == 0)
            reader.add(ErrorId::SettingsOutOfRange, list,
                       fmt::format("{} needs at least one entry", key));
    }
    checkLimits(settings, root, reader);
}

} // namespace

const ServiceSettings *FleetSettings::service(const ServiceId &id) const
{
    const auto isIt = [&id](const ServiceSettings &settings) {
        return settings.m_id == id;
    };
    const auto found = std::find_if(m_services.begin(), m_services.end(), isIt);
    return found == m_services.end() ? nullptr : &*found;
}

const DataCentreSettings *FleetSettings::dataCentre(const DataCentreId &id) const
{
    const auto isIt = [&id](const DataCentreSettings &settings) {
        return settings.m_id == id;
    };
    const auto found = std::find_if(m_dataCentres.begin(), m_dataCentres.end(), isIt);
    return found == m_dataCentres.end() ? nullptr : &*found;
}

Checked<FleetSettings> checkFleetSettings(std::string_view text, const std::string &document)
{
    return checkDocument(fleetSchema(), FleetSettings{}, text, document, checkContradictions);
}

KeyReferences fleetSettingsReference()
{
    KeyReferences keys;
    fleetSchema().describe({}, keys);
    return keys;
}

} // namespace gypsumdale
