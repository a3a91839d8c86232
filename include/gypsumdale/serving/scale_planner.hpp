#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/serving_config.hpp>
#include <gypsumdale/serving/upstream_record.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <map> // map
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// One order: that many upstreams of a service in a data centre, steady or reclaimable.
struct ScaleOrder
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    bool m_isReclaimable = false;
    int m_count = 0;

    friend bool operator==(const ScaleOrder &, const ScaleOrder &) = default;
};

/// What the plan for one service is made from.
struct ScaleInput
{
    const ServingService *m_service = nullptr;
    std::vector<DataCentreId> m_dataCentres;
    const std::map<UpstreamId, UpstreamRecord> *m_upstreams = nullptr;
    /// Requests in flight over the fleet at the service.
    double m_running = 0;
};

/// Decides how many upstreams of each kind a service has in each data centre: few steady ones as a
/// floor, since a reclaim takes all others of a data centre at once, and reclaimable ones, which
/// cost a fraction, above it. While too few of those are there, steady ones stand in for them where
/// they are cheapest.
class ScalePlanner
{
public:
    explicit ScalePlanner(ScaleSettings settings = {})
        : m_settings(settings)
    {}

    /// Returns the orders that the service should have in force now. Linear in the upstreams.
    std::vector<ScaleOrder> plan(const ScaleInput &input, TimePoint now);

    /// Notes that reclaimable upstreams were refused in a data centre.
    void noteRefused(const ScaleOrder &order, TimePoint now);

private:
    int neededEngines(const ScaleInput &input, TimePoint now);

    ScaleSettings m_settings;
    struct Peak
    {
        int m_engines = 0;
        TimePoint m_at{};
    };
    std::map<ServiceId, Peak> m_peaks;
    std::map<std::pair<ServiceId, DataCentreId>, TimePoint> m_refusedAt;
};

} // namespace gypsumdale
