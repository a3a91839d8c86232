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

/// How much a service's engines are asked to read, and how fast one of them reads.
struct PrefillRate
{
    /// Prompt tokens of requests placed in a second.
    double m_demand = 0;
    /// Prompt tokens that one engine reads in a second when it reads nothing else; 0 while too
    /// little was seen.
    double m_speed = 0;
};

/// Learns the reading rate of one service from the requests of this VM.
///
/// The speed of engines stands in no configuration and differs by a factor of three between
/// deployments. It shows where a request is alone with its prompt at an engine: its first event
/// comes when its prompt has been read. Requests beside others are no measure, as their prompts are
/// read by turns.
///
/// Part of each wait has nothing to do with the prompt's length: the way, a step, what the engine
/// does before the first event, and the VM's own turn at its core. It is 4 to 50 ms, as long as an
/// engine needs for 5,000 tokens, and differs between deployments too. So prompts of several
/// lengths are compared: what a longer one takes beyond the quickest was spent on reading.
class PrefillEstimator
{
public:
    /// Notes a request that was placed, with the tokens of its prompt that no other request shares.
    /// Constant, amortised.
    void recordPlacement(std::int64_t ownTokens, TimePoint now);

    /// Notes how long the first event took of a request that was alone with its prompt. Constant.
    void recordUncontended(std::int64_t ownTokens, Duration wait);

    /// Constant: a bounded number of requests is kept.
    PrefillRate rate(TimePoint now);

private:
    /// Demand is averaged over this: arrivals come in clumps of a second or two.
    static constexpr Duration demandSpan = std::chrono::seconds(4);

    /// A prompt that was alone at an engine.
    struct Sample
    {
        double m_tokens = 0;
        double m_seconds = 0;
    };

    double speed() const;
    static std::vector<double> wholeSpeeds(const std::deque<Sample> &samples);
    static std::vector<double> speedsBeyondQuickest(const std::deque<Sample> &samples);

    SlidingSum m_demand{demandSpan};
    std::deque<Sample> m_samples;
};

/// The reading rates of all services, as this VM and its peers see them.
class FleetPrefillRates
{
public:
    /// Returns what this VM learns of a service.
    PrefillEstimator &own(const ServiceId &service) { return m_own[service]; }

    /// Returns this VM's rates, for a report. Linear in the services.
    std::map<ServiceId, PrefillRate> ownRates(TimePoint now);

    /// Replaces what one other VM reported.
    void setPeer(const std::string &node, std::map<ServiceId, PrefillRate> rates);
    void removePeer(const std::string &node) { m_peers.erase(node); }

    /// Returns the rates over the fleet: the sum of the demands, and the median of the speeds that
    /// VMs have seen. Linear in peers and services.
    std::map<ServiceId, PrefillRate> fleetRates(TimePoint now);

private:
    std::map<ServiceId, PrefillEstimator> m_own;
    std::map<std::string, std::map<ServiceId, PrefillRate>> m_peers;
};

} // namespace gypsumdale
