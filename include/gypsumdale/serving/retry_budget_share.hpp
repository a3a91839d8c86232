#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstddef> // size_t
#include <map> // map

namespace gypsumdale {

struct RetryBudgetShareSettings
{
    /// Arrivals beyond the first that the fleet may add for each request.
    double m_ratio = 0.2;
    /// Arrivals beyond that, for the whole fleet in a window.
    double m_slack = 0;
    Duration m_window = std::chrono::seconds(10);
};

/// This VM's part of the fleet's budget for sending requests to a further upstream: its own ratio
/// and an even part of the slack. It needs no word of the other VMs, so that the sum over all of
/// them stays within the budget in any partition.
class RetryBudgetShare
{
public:
    explicit RetryBudgetShare(RetryBudgetShareSettings settings)
        : m_settings(settings)
    {}

    /// Notes a caller's request for a service. Constant, amortised.
    void noteRequest(const ServiceId &service, TimePoint now);

    /// Takes one repeat out, or returns false if there is none left. Constant, amortised.
    bool tryTake(const ServiceId &service, TimePoint now);

    /// Returns how many repeats are left at the moment. Constant, amortised.
    double left(const ServiceId &service, TimePoint now);

    /// Sets the number of entry VMs that share the slack.
    void setFleetSize(std::size_t nodes);

private:
    struct Use
    {
        explicit Use(Duration window)
            : m_requests(window)
            , m_repeats(window)
        {}
        SlidingSum m_requests;
        SlidingSum m_repeats;
    };
    Use &useOf(const ServiceId &service);

    RetryBudgetShareSettings m_settings;
    double m_fleetSize = 1;
    std::map<ServiceId, Use> m_uses;
};

} // namespace gypsumdale
