#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/sliding_sum.hpp>

#include <cstdint> // int64_t
#include <deque> // deque
#include <map> // map
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Prefill demand on a service's engines, and the prefill speed of one engine.
struct PrefillRate
{
    /// Prompt tokens per second of placed requests.
    double m_demand = 0;
    /// Prompt tokens per second that one engine reads when it does nothing else; 0 while too little
    /// was observed.
    double m_speed = 0;
};

/// Estimates the prefill rate of one service from the requests of this VM.
///
/// The speed of engines is not configured, and differs by a factor of three between deployments. It
/// can be measured where a request's prompt is the only one at an engine: the first event arrives
/// when the prompt has been read. Requests at a shared engine are no measure, as their prompts are
/// read in turns.
///
/// Part of each delay doesn't depend on the prompt's length: the network latency, a processing
/// step, the engine's work before the first event, and the scheduling delay of the VM itself. It is
/// 4 to 50 ms, as long as an engine needs for 5,000 tokens, and also differs between deployments.
/// Therefore prompts of several lengths are compared: the extra time of a longer prompt over the
/// quickest one was spent on prefill.
class PrefillEstimator
{
public:
    /// Records a placed request by the prompt tokens that no other request shares. Complexity:
    /// amortised constant.
    void recordPlacement(std::int64_t ownTokens, TimePoint now);

    /// Records the time to the first event of a request whose prompt was alone at its engine.
    /// Complexity: constant.
    void recordUncontended(std::int64_t ownTokens, Duration wait);

    /// Returns the current demand and speed. Complexity: constant, as a bounded number of requests
    /// is kept.
    PrefillRate rate(TimePoint now);

private:
    /// Averaging span of the demand; arrivals come in clusters of one or two seconds.
    static constexpr Duration demandSpan = std::chrono::seconds(4);

    /// A prompt that was alone at an engine.
    struct Sample
    {
        double m_tokens = 0;
        double m_seconds = 0;
    };

    double speed() const;
    static std::vector<double> totalDelaySpeeds(const std::deque<Sample> &samples);
    static std::vector<double> speedsBeyondQuickest(const std::deque<Sample> &samples);

    SlidingSum m_demand{demandSpan};
    std::deque<Sample> m_samples;
};

/// The prefill rates of all services, as observed by this VM and its peers.
class FleetPrefillRates
{
public:
    /// Returns this VM's estimator for a service.
    PrefillEstimator &own(const ServiceId &service) { return m_own[service]; }

    /// Returns this VM's rates for a report. Complexity: linear in the services.
    std::map<ServiceId, PrefillRate> ownRates(TimePoint now);

    /// Replaces the rates that one other VM reported.
    void setPeer(const std::string &node, std::map<ServiceId, PrefillRate> rates);
    void removePeer(const std::string &node) { m_peers.erase(node); }

    /// Returns the rates over the fleet: the sum of the demands and the median of the speeds that
    /// VMs observed. Complexity: linear in peers and services.
    std::map<ServiceId, PrefillRate> fleetRates(TimePoint now);

private:
    std::map<ServiceId, PrefillEstimator> m_own;
    std::map<std::string, std::map<ServiceId, PrefillRate>> m_peers;
};

} // namespace gypsumdale
