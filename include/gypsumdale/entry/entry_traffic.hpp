#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/entry/startup_knowledge.hpp>
#include <gypsumdale/entry/upstream_client.hpp>
#include <gypsumdale/observe/highest_value.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_server.hpp>
#include <gypsumdale/serving/first_event_forecast.hpp>
#include <gypsumdale/serving/fleet_quota.hpp>
#include <gypsumdale/serving/placement_deadline.hpp>
#include <gypsumdale/serving/prefill_estimator.hpp>
#include <gypsumdale/serving/prompt_announcer.hpp>
#include <gypsumdale/serving/retry_budget_share.hpp>
#include <gypsumdale/serving/serving_view.hpp>
#include <gypsumdale/serving/steady_wall_clock.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/usage_counts.hpp>
#include <gypsumdale/settings/entry_settings.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <functional> // function
#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// What the control thread takes from the traffic thread for an exchange with the peers.
struct TrafficReport
{
    std::map<AccountId, ReportedUsage> m_accounts;
    std::map<UpstreamId, InFlightLoad> m_loads;
    std::map<WindowNumber, WindowCounts> m_usage;
    std::vector<EndedProcessUsage> m_endedUsage;
    /// Requests in flight at each service over all VMs.
    std::map<ServiceId, double> m_running;
    /// Reading rates as this VM sees them, and over the fleet.
    std::map<ServiceId, PrefillRate> m_ownReading;
    std::map<ServiceId, PrefillRate> m_fleetReading;
    WallMillis m_wall = 0;
};

/// What a peer reported, for the traffic thread.
struct PeerReport
{
    std::string m_node;
    std::int64_t m_incarnation = 0;
    std::map<AccountId, ReportedUsage> m_accounts;
    std::map<UpstreamId, InFlightLoad> m_loads;
    std::map<WindowNumber, WindowCounts> m_usage;
    /// What it knows of processes that tell of their counts no longer.
    std::vector<EndedProcessUsage> m_endedUsage;
    std::map<ServiceId, PrefillRate> m_reading;
    /// Its wall time less this VM's, as of the report.
    WallMillis m_wallOffset = 0;
};

class EntryCall;
class RunMover;

/// Everything that requests are decided on, owned by the traffic thread. Messages of the control
/// thread arrive as calls on this thread's loop.
class EntryTraffic
{
public:
    EntryTraffic(const EntrySettings &settings, FiberLoop &loop, const Clock &clock, Logger &log,
                 Metrics &metrics);

    ~EntryTraffic();
    EntryTraffic(const EntryTraffic &) = delete;
    EntryTraffic &operator=(const EntryTraffic &) = delete;

    /// Answers one request of a caller.
    void handle(const HttpRequest &request, HttpResponder &responder);

    /// Keeps a request among those under way as long as it lives.
    class CallRegistration
    {
    public:
        CallRegistration(std::set<EntryCall *> &calls, EntryCall &call)
            : m_calls(calls)
            , m_call(&call)
        {
            m_calls.insert(m_call);
        }
        ~CallRegistration() { m_calls.erase(m_call); }
        CallRegistration(const CallRegistration &) = delete;
        CallRegistration &operator=(const CallRegistration &) = delete;

    private:
        std::set<EntryCall *> &m_calls;
        EntryCall *m_call;
    };
    CallRegistration registerCall(EntryCall &call);

    /// Ends the requests under way, and from now on each that begins: the process is about to end,
    /// and their callers would see their connections end without an answer. Returns how many are
    /// under way.
    std::size_t cancelCalls();

    void setView(ServingViewPointer view)
    {
        m_view = std::move(view);
        m_firstKnowledge.recordConfiguration();
    }
    /// Tells whether a request should wait for what this process doesn't know yet.
    bool shouldWaitForStartup() const { return m_firstKnowledge.shouldWaitForStartup(now()); }
    void setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams, std::int64_t revision);
    /// Takes in what is known of the age of the list in use, and for how long a list holds.
    void setListStanding(const ListConfirmation &list, const PlacementDeadline &term);
    Duration listAge() const { return now() - m_list.m_confirmedAt; }
    /// Returns until when a request placed now may reach its upstream, or nothing where the list is
    /// too old to place by. Constant.
    std::optional<TimePoint> placementDeadline() const { return m_term.until(m_list, now()); }
    /// Returns the same for a request placed earlier, at an upstream that doesn't leave. Constant.
    TimePoint renewedDeadline(TimePoint placedUntil) const
    {
        return m_term.renewed(placedUntil, m_list);
    }
    /// Returns until when a run may go on at an upstream that leaves, or nothing where that time is
    /// over or unknown. Constant.
    std::optional<TimePoint> deadlineWhileLeaving(const PooledUpstream &upstream) const;
    /// Returns the highest age in milliseconds of the list at a placement since the last call, or
    /// nothing if there was none. Safe from any thread.
    std::optional<std::int64_t> takePlacementListAge() { return m_placementListAge.take(); }
    void setPeer(const PeerReport &report);
    void setPeerLoadAt(const std::string &node, const UpstreamId &upstream, InFlightLoad load)
    {
        m_pool.setPeerLoadAt(node, upstream, load, now());
    }
    void removePeer(const std::string &node);
    /// Called with the load of an upstream that has just got a prompt that peers hear of at once.
    using LongPromptPlaced = std::function<void(const UpstreamId &, InFlightLoad)>;
    void onLongPromptPlaced(LongPromptPlaced placed) { m_longPromptPlaced = std::move(placed); }
    /// Notes that a request was placed, and tells the peers of it if they are to hear at once.
    void recordPlacement(const PooledUpstream &upstream, std::int64_t ownTokens,
                         bool shouldAnnounce);
    /// Notes a prompt that is about to be placed and tells whether peers are to hear of it at once.
    bool shouldAnnounce(const ServiceId &service, std::int64_t ownTokens);
    /// Takes in by how much exchanges with peers are spread out.
    void setExchangeStretch(int stretch)
    {
        m_quota.setExchangeStretch(stretch);
        m_pool.setExchangeStretch(stretch);
        m_isSpreadOut = stretch > 1;
    }
    /// Takes in how many VMs the fleet has, and how many it should have as long as this process has
    /// not had the time to hear them; 0 after that.
    void setFleetSize(std::size_t nodes, std::size_t expected)
    {
        m_allowance.setFleetSize(nodes);
        m_promptNews.setFleet(nodes, m_isSpreadOut);
        m_quota.setExpectedFleetSize(expected);
    }
    /// Returns what to tell the peers. Linear in accounts and upstreams.
    TrafficReport report();
    /// Returns the counts of a usage window over all VMs.
    WindowCounts usageOf(WindowNumber window) const { return m_usage.total(window); }

    const ServingViewPointer &view() const { return m_view; }
    UpstreamPool &pool() { return m_pool; }
    FleetPrefillRates &reading() { return m_reading; }
    FirstEventForecaster &forecaster() { return m_forecaster; }
    /// Returns the prompt tokens that an engine of a service reads in a time; 0 while its speed
    /// isn't known.
    double tokensWithin(const ServiceId &service, Duration time) const;
    FleetQuota &quota() { return m_quota; }
    RetryBudgetShare &allowance() { return m_allowance; }
    RunMover &mover() { return *m_mover; }
    UpstreamClient &client() { return m_client; }
    Logger &log() { return m_log; }
    Metrics &metrics() { return m_metrics; }
    const DataCentreId &dataCentre() const { return m_settings.m_dataCentre; }
    TimePoint now() const { return m_clock.now(); }
    /// Returns the time of day without jumps.
    WallMillis wallNow();
    void countUsage(const AccountId &account) { m_usage.add(account, wallNow()); }
    /// Returns a number from 0 to 1, to spread what should not happen at one moment.
    double random();
    /// Returns a random number of 64 bits.
    std::uint64_t draw();

private:
    const EntrySettings &m_settings;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    UpstreamClient m_client;
    ServingViewPointer m_view;
    UpstreamPool m_pool;
    HighestValue m_placementListAge;
    /// A list that was never confirmed can't be waited for: without it nobody would be served.
    ListConfirmation m_list{TimePoint{}, true};
    PlacementDeadline m_term;
    FleetPrefillRates m_reading;
    PromptAnnouncer m_promptNews;
    bool m_isSpreadOut = false;
    FirstEventForecaster m_forecaster;
    /// As of the last report.
    std::map<ServiceId, PrefillRate> m_fleetReading;
    FleetQuota m_quota;
    RetryBudgetShare m_allowance;
    UsageCounts m_usage;
    std::unique_ptr<RunMover> m_mover;
    std::set<EntryCall *> m_calls;
    bool m_isEndingCalls = false;
    StartupKnowledge m_firstKnowledge;
    LongPromptPlaced m_longPromptPlaced;
    SteadyWallClock m_wall;
    std::map<std::string, WallMillis> m_peerOffsets;
    std::uint64_t m_randomState;
};

} // namespace gypsumdale
