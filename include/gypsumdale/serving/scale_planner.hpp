#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/prefill_estimator.hpp>
#include <gypsumdale/serving/serving_config.hpp>
#include <gypsumdale/serving/upstream_record.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <map> // map
#include <optional> // optional
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
    /// What its engines are asked to read over the fleet, and how fast one of them reads.
    PrefillRate m_reading;
};

/// Decides how many upstreams of each kind a service has in each data centre: few steady ones as a
/// floor, since a reclaim takes all others of a data centre at once, and reclaimable ones, which
/// cost a fraction, above it. While too few of those are there, steady ones stand in for them where
/// they are cheapest.
///
/// How many are needed follows from what prompts are to be read and how fast an engine was seen to
/// read; where that isn't known yet, from the requests in flight. Those pile up when engines are
/// missing, and would order more than the load needs.
class ScalePlanner
{
public:
    /// Upstreams of a service in one data centre.
    struct Present
    {
        int m_steady = 0;
        int m_reclaimable = 0;
        /// Reclaimable ones that leave.
        int m_leaving = 0;
    };

    explicit ScalePlanner(ScaleSettings settings = {})
        : m_settings(settings)
    {}

    /// Returns the orders that the service should have in force now. Linear in the upstreams.
    std::vector<ScaleOrder> plan(const ScaleInput &input, TimePoint now);

    /// Notes that reclaimable upstreams were refused in a data centre.
    void recordRefusal(const ScaleOrder &order, TimePoint now);

private:
    /// Engines that the load of the last seconds needs.
    struct Need
    {
        /// For first tokens that come in time, with room for a burst.
        int m_comfortable = 0;
        /// For as long as steady ones stand in, at several times the price.
        int m_bare = 0;
        /// Without which requests pile up.
        int m_least = 0;
    };
    struct Peak
    {
        int m_engines = 0;
        TimePoint m_at{};

        int raise(int engines, TimePoint now, Duration lowerAfter);
    };
    struct ServiceState
    {
        Peak m_comfortable;
        Peak m_bare;
        Peak m_least;
        /// When reclaimable upstreams were last taken away or refused.
        std::optional<TimePoint> m_reclaimedAt;
    };

    Need neededEngines(const ScaleInput &input, ServiceState &state, TimePoint now) const;
    static int standInsFor(const Need &need, const std::map<DataCentreId, Present> &present,
                           const ScaleInput &input, int available, bool isReclaiming);
    bool isReclaiming(const ServiceState &state, TimePoint now) const;

    ScaleSettings m_settings;
    std::map<ServiceId, ServiceState> m_states;
    std::map<std::pair<ServiceId, DataCentreId>, TimePoint> m_refusedAt;
};

} // namespace gypsumdale
