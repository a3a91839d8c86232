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

/// Desired number of a service's upstreams in a data centre, steady or reclaimable.
struct ScaleOrder
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    bool m_isReclaimable = false;
    int m_count = 0;

    friend bool operator==(const ScaleOrder &, const ScaleOrder &) = default;
};

/// Inputs of the plan for one service.
struct ScaleInput
{
    const ServingService *m_service = nullptr;
    std::vector<DataCentreId> m_dataCentres;
    const std::map<UpstreamId, UpstreamRecord> *m_upstreams = nullptr;
    /// Requests in flight at the service over the whole fleet.
    double m_running = 0;
    /// Prefill demand on the service over the fleet, and the prefill speed of one engine.
    PrefillRate m_reading;
};

/// Computes how many upstreams of each kind a service needs in each data centre. A few steady ones
/// are the floor, since a reclaim takes all others of a data centre at once; reclaimable ones,
/// which cost a fraction, are added to it. While too few of those are available, steady ones are
/// ordered as stand-ins where they are cheapest.
///
/// The number is based on the prefill demand and the observed prefill speed or, while the speed is
/// unknown, on the requests in flight. Those accumulate when engines are missing, and would cause
/// more orders than the load needs.
class ScalePlanner
{
public:
    /// Number of a service's upstreams in one data centre.
    struct Present
    {
        int m_steady = 0;
        int m_reclaimable = 0;
        /// Reclaimable ones that are leaving.
        int m_leaving = 0;
    };

    explicit ScalePlanner(ScaleSettings settings = {})
        : m_settings(settings)
    {}

    /// Returns the orders that should be in force for the service now. Complexity: linear in the
    /// upstreams.
    std::vector<ScaleOrder> plan(const ScaleInput &input, TimePoint now);

    /// Records that reclaimable upstreams were refused in a data centre.
    void recordRefusal(const ScaleOrder &order, TimePoint now);

private:
    /// Number of engines that the load of the last seconds needs.
    struct Need
    {
        /// Enough for first tokens within their target, with headroom for a burst.
        int m_target = 0;
        /// Enough while steady ones are stand-ins, at several times the price.
        int m_standIn = 0;
        /// Minimum below which requests accumulate.
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
        Peak m_target;
        Peak m_standIn;
        Peak m_least;
        /// When reclaimable upstreams were last taken away or refused.
        std::optional<TimePoint> m_reclaimedAt;
    };

    Need neededEngines(const ScaleInput &input, ServiceState &state, TimePoint now) const;
    static int countStandIns(const Need &need, const std::map<DataCentreId, Present> &present,
                             const ScaleInput &input, int available, bool isReclaiming);
    bool isReclaiming(const ServiceState &state, TimePoint now) const;

    ScaleSettings m_settings;
    std::map<ServiceId, ServiceState> m_states;
    std::map<std::pair<ServiceId, DataCentreId>, TimePoint> m_refusedAt;
};

} // namespace gypsumdale
