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

/// What answers a service's requests.
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
    /// Multiplies the data centre's prices when places are compared.
    double m_priceWeight = 1.0;
};

struct ServiceSettings
{
    ServiceId m_id;
    ServiceKind m_kind = ServiceKind::Model;
    /// The routing policy's name; empty takes the fleet's default.
    std::string m_routing;
    /// Requests in flight to one upstream that reports no slots of its own.
    int m_concurrency = 8;
};

/// Bounds on the VMs of one service in one data centre and machine class.
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
    /// Whether the rest must carry the load when the largest data centre is lost.
    bool m_surviveDataCentreLoss = true;
    /// The share of slots in use that scaling aims at.
    double m_targetUse = 0.7;
    /// The shortest time between two decisions on one service.
    Duration m_interval = std::chrono::seconds(10);
};

struct DrainTimes
{
    /// From failing readiness until the node refuses new connections, so that balancers notice.
    Duration m_readinessLead = std::chrono::seconds(5);
    /// The longest wait for requests in flight at a planned stop.
    Duration m_node = std::chrono::seconds(120);
    /// The longest wait for requests in flight on an upstream that leaves.
    Duration m_upstream = std::chrono::seconds(120);
};

/// What holds for the whole fleet; the platform keeps one such object.
struct FleetSettings
{
    std::vector<DataCentreSettings> m_dataCentres;
    std::vector<ServiceSettings> m_services;
    std::string m_routing = "least-outstanding";
    /// Retries and hedges as a share of first attempts.
    double m_retryRatio = 0.1;
    DrainTimes m_drain;
    /// How long a finished job's answer is kept.
    Duration m_jobRetention = std::chrono::hours(24);
    /// How long an idempotency key is remembered where the profile doesn't say.
    Duration m_keyRetention = std::chrono::hours(24);
    ScalingSettings m_scaling;
    double m_memberWeight = 1.0;

    /// Returns the service of that name, or null. Linear in the services.
    const ServiceSettings *service(const ServiceId &id) const;
    /// Returns the data centre of that name, or null. Linear in the data centres.
    const DataCentreSettings *dataCentre(const DataCentreId &id) const;
};

/// Reads the fleet's settings whole; see checkProfile.
Checked<FleetSettings> checkFleetSettings(std::string_view text, const std::string &document);

KeyReferences fleetSettingsReference();

} // namespace gypsumdale
