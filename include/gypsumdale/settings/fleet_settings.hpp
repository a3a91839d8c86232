#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <chrono> // hours, seconds
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Kind of upstream that answers a service's requests.
enum class ServiceKind {
    Model,
    Plain,
};

inline constexpr NameTable<ServiceKind, 2> serviceKindNames = {{
        {ServiceKind::Model, "model"},
        {ServiceKind::Plain, "plain"},
}};

struct DataCentreSettings
{
    DataCentreId m_id;
    RegionId m_region;
    /// Factor on the data centre's prices when data centres are compared.
    double m_priceWeight = 1.0;
};

struct ServiceSettings
{
    ServiceId m_id;
    ServiceKind m_kind = ServiceKind::Model;
    /// Name of the routing policy; empty selects the fleet's default.
    std::string m_routing;
    /// Maximum number of requests in flight to an upstream that does not report its slots.
    int m_concurrency = 8;
};

/// Limits on the number of VMs of one service in one data centre and machine class.
struct ScalingLimits
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    std::string m_vmClass;
    int m_minimum = 0;
    int m_maximum = 0;
};

struct ScalingSettings
{
    std::vector<ScalingLimits> m_limits;
    /// Whether the remaining data centres must be able to carry the load if the largest one is
    /// lost.
    bool m_surviveDataCentreLoss = true;
    /// Share of slots in use that scaling aims for.
    double m_targetUse = 0.7;
    /// Minimum time between two decisions on one service.
    Duration m_interval = std::chrono::seconds(10);
};

struct DrainTimes
{
    /// Time from failing readiness until the node refuses new connections, so that load balancers
    /// notice first.
    Duration m_readinessLead = std::chrono::seconds(5);
    /// Maximum wait for requests in flight at a planned stop.
    Duration m_node = std::chrono::seconds(120);
    /// Maximum wait for requests in flight on an upstream that leaves.
    Duration m_upstream = std::chrono::seconds(120);
};

/// Settings of the whole fleet. The platform stores one such object.
struct FleetSettings
{
    std::vector<DataCentreSettings> m_dataCentres;
    std::vector<ServiceSettings> m_services;
    std::string m_routing = "least-outstanding";
    /// Maximum number of retries and hedges, as a share of first attempts.
    double m_retryRatio = 0.1;
    DrainTimes m_drain;
    /// Time for which the answer of a finished job is kept.
    Duration m_jobRetention = std::chrono::hours(24);
    /// Time for which an idempotency key is kept if the profile does not define it.
    Duration m_keyRetention = std::chrono::hours(24);
    ScalingSettings m_scaling;
    double m_memberWeight = 1.0;

    /// Returns the service with the given name, or null. Complexity: linear in the number of
    /// services.
    const ServiceSettings *service(const ServiceId &id) const;
    /// Returns the data centre with the given name, or null. Complexity: linear in the number of
    /// data centres.
    const DataCentreSettings *dataCentre(const DataCentreId &id) const;
};

/// Reads and checks the settings of the fleet; see checkProfile.
Checked<FleetSettings> checkFleetSettings(std::string_view text, const std::string &document);

KeyReferences fleetSettingsReference();

} // namespace gypsumdale
