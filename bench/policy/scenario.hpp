#pragma once

#include "bench/policy/engine_model.hpp"

#include <gypsumdale/policy/admission.hpp>
#include <gypsumdale/policy/retry_budget.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <functional> // function
#include <map> // map
#include <queue> // priority_queue
#include <string> // string
#include <vector> // vector

namespace gypsumdale::bench {

/// A stream of similar requests of one member.
struct Load
{
    std::string m_member;
    std::string m_profile = "phone";
    int m_priority = 0;
    double m_requestsPerSecond = 1.0;
    std::uint32_t m_promptTokens = 400;
    std::uint32_t m_answerTokens = 60;
    Duration m_target = std::chrono::seconds(1);
    /// Number of prompt prefixes that the requests choose from, and of blocks in each; 0 for none.
    std::uint32_t m_prefixes = 0;
    std::uint32_t m_prefixBlocks = 0;
    /// Index of the entry VM that receives the requests, or -1 for any.
    int m_node = -1;
};

/// Parameters of one simulation.
struct Scenario
{
    std::uint64_t m_seed = 1;
    int m_nodes = 3;
    int m_engines = 6;
    EngineSpeed m_speed;
    AdmissionSettings m_settings;
    std::string m_routing = "prefix-affinity";
    RoutingSettings m_routingSettings;
    Duration m_heartbeat = std::chrono::milliseconds(250);
    Duration m_reportAge = std::chrono::milliseconds(200);
    Duration m_length = std::chrono::seconds(60);
    std::vector<Load> m_loads;
    /// Puts all members and classes in one queue, in order of arrival.
    bool m_isFifo = false;
    /// Refuses or abandons no request because of its target.
    bool m_ignoresTargets = false;
    /// Largest share of all slots that member "a" may hold; 0 for no limit.
    double m_firstMemberPart = 0.0;
    /// Number of engines that fail every request after 10 ms, from one third of the run on.
    int m_failingEngines = 0;
    bool m_hasRetryBudget = true;
};

/// Results for one member and profile.
struct Outcome
{
    std::vector<double> m_firstTokenMillis;
    std::vector<double> m_betweenTokensMillis;
    std::size_t m_submitted = 0;
    std::size_t m_inTime = 0;
    std::size_t m_refused = 0;
};

struct Report
{
    std::map<std::string, Outcome> m_outcomes;
    std::size_t m_firstAttempts = 0;
    std::size_t m_attempts = 0;
    std::size_t m_failedForGood = 0;
    std::uint64_t m_promptTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    /// Largest difference of weighted service between two members that were always backlogged.
    double m_largestGap = 0.0;
    std::uint32_t m_mostAtOneEngine = 0;
    /// Mean over time of the ratio of the busiest engine's requests to the mean per engine.
    double m_imbalance = 0.0;
    double m_meanSlotUse = 0.0;
    double m_tokensPerSecond = 0.0;
};

/// Discrete-event simulation of the decision logic of a few entry VMs with engine models.
class Simulation
{
public:
    explicit Simulation(Scenario scenario);
    Report run();

private:
    struct Event
    {
        TimePoint m_at;
        std::uint64_t m_sequence;
        std::function<void()> m_action;
        bool operator<(const Event &other) const;
    };
    struct InFlightRequest
    {
        const Load *m_load = nullptr;
        int m_node = 0;
        TimePoint m_arrivedAt{};
        WaitingRequest m_request;
        AttemptInfo m_info;
        int m_engine = -1;
        std::optional<TimePoint> m_lastTokenAt;
    };

    void at(TimePoint time, std::function<void()> action);
    void every(Duration period, const std::function<void()> &action);
    void startLoad(const Load &load);
    void arrive(const Load &load);
    void apply(int node, const AdmissionCommands &commands);
    void send(int node, const Dispatch &dispatch);
    void fail(const RequestId &id);
    void scheduleStep(int engine);
    void stepEngine(int engine);
    void handle(const EngineOutput &output);
    void exchangeHeartbeats();
    void reportLoads();
    void sample();
    bool isFailing(int engine) const;
    double random();

    Scenario m_scenario;
    pcg32 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    TimePoint m_end;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<AdmissionController> m_nodes;
    std::vector<RetryBudget> m_budgets;
    std::vector<EngineModel> m_engines;
    std::vector<bool> m_isBusy;
    std::map<RequestId, InFlightRequest> m_inFlight;
    std::map<std::string, double> m_served;
    Report m_report;
    std::size_t m_samples = 0;
    double m_gapBase = 0.0;
};

/// Returns a percentile of the values, or 0 if there are none. Sorts a copy of the values.
double percentile(std::vector<double> values, double part);

} // namespace gypsumdale::bench
