#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/entry/connection_waiting.hpp>
#include <gypsumdale/entry/entry_backpressure.hpp>
#include <gypsumdale/entry/entry_crashes.hpp>
#include <gypsumdale/entry/entry_origins.hpp>
#include <gypsumdale/entry/entry_relay.hpp>
#include <gypsumdale/entry/entry_rollouts.hpp>
#include <gypsumdale/entry/entry_waiting.hpp>
#include <gypsumdale/entry/startup_knowledge.hpp>
#include <gypsumdale/entry/upstream_client.hpp>
#include <gypsumdale/observe/highest_value.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_server.hpp>
#include <gypsumdale/serving/completion_forecast.hpp>
#include <gypsumdale/serving/first_event_forecast.hpp>
#include <gypsumdale/serving/fleet_quota.hpp>
#include <gypsumdale/serving/placement_deadline.hpp>
#include <gypsumdale/serving/prefill_estimator.hpp>
#include <gypsumdale/serving/prompt_announcer.hpp>
#include <gypsumdale/serving/retry_benefit.hpp>
#include <gypsumdale/serving/retry_budget_share.hpp>
#include <gypsumdale/serving/service_versions.hpp>
#include <gypsumdale/serving/serving_view.hpp>
#include <gypsumdale/serving/steady_wall_clock.hpp>
#include <gypsumdale/serving/stop_schedule.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/upstream_speed.hpp>
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
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// State of the traffic thread that the control thread sends in exchanges with the peers.
struct TrafficReport
{
    std::map<AccountId, ReportedUsage> m_accounts;
    std::map<UpstreamId, InFlightLoad> m_loads;
    std::map<WindowNumber, WindowCounts> m_usage;
    std::vector<EndedProcessUsage> m_endedUsage;
    /// Requests in flight at each service over all VMs.
    std::map<ServiceId, double> m_running;
    /// Prompt reading rates as measured by this VM, and of the whole fleet.
    std::map<ServiceId, PrefillRate> m_ownPrefill;
    std::map<ServiceId, PrefillRate> m_fleetPrefill;
    /// This VM's estimates that peers need.
    ObservedSpeeds m_speeds;
    WallMillis m_wall = 0;
    RelayStatus m_relay;
    RetryHistory m_retries;
    /// Services that are short of slots or were lately.
    std::map<ServiceId, ServiceTurnsReport> m_turns;
    /// What this VM heard of upstreams that want fewer requests.
    BackpressureReport m_backpressure;
};

/// A peer's report, for the traffic thread.
struct PeerReport
{
    std::string m_node;
    std::int64_t m_incarnation = 0;
    std::map<AccountId, ReportedUsage> m_accounts;
    std::map<UpstreamId, InFlightLoad> m_loads;
    std::map<WindowNumber, WindowCounts> m_usage;
    /// Counts of processes that have ended, as far as the peer knows them.
    std::vector<EndedProcessUsage> m_endedUsage;
    std::map<ServiceId, PrefillRate> m_reading;
    /// A few of the peer's estimates.
    ObservedSpeeds m_speeds;
    /// The peer's wall time minus this VM's at the time of the report.
    WallMillis m_wallOffset = 0;
    RelayOffer m_relay;
    /// What the peer knows of earlier processes of this VM.
    std::optional<EarlierRetries> m_earlierRetries;
    std::map<ServiceId, ServiceTurnsReport> m_turns;
    BackpressureReport m_backpressure;
};

class EntryCall;
class RunMover;

/// State that decisions about requests are based on, owned by the traffic thread. Messages of the
/// control thread arrive as calls on this thread's loop.
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

    /// Answers a request of a caller that a peer relays.
    void handleRelayed(const HttpRequest &request, HttpResponder &responder);

    /// Registers a call as active for its own lifetime.
    class CallRegistration
    {
    public:
        CallRegistration(std::set<EntryCall *> &calls, EntryCall &call)
            : m_activeCalls(calls)
            , m_call(&call)
        {
            m_activeCalls.insert(m_call);
        }
        ~CallRegistration() { m_activeCalls.erase(m_call); }
        CallRegistration(const CallRegistration &) = delete;
        CallRegistration &operator=(const CallRegistration &) = delete;

    private:
        std::set<EntryCall *> &m_activeCalls;
        EntryCall *m_call;
    };
    CallRegistration registerCall(EntryCall &call);

    /// Begins a planned stop of the process: peers are offered no relaying any more.
    void beginStop(const StopSchedule &schedule);
    /// Returns the schedule of the stop, or nothing if the process isn't stopping.
    const std::optional<StopSchedule> &stopSchedule() const { return m_stopSchedule; }

    /// Cancels the active calls, and from now on each call that starts. Without that, the callers'
    /// connections would end without an answer when the process ends. Returns the number of active
    /// calls.
    std::size_t cancelCalls();

    void setView(ServingViewPointer view);
    /// Returns whether a request should wait for the first configuration or upstream list of this
    /// process.
    bool shouldWaitForStartup() const { return m_startupKnowledge.shouldWaitForStartup(now()); }
    void setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams, std::int64_t revision);
    /// Sets what is known of the age of the list in use, and how long a list remains valid.
    void setListConfirmation(const ListConfirmation &list, const PlacementDeadline &deadline);
    Duration listAge() const { return now() - m_listConfirmation.m_confirmedAt; }
    /// Returns the placement deadline of a request placed now, or nothing if the list is too old
    /// for placements. Complexity: constant.
    std::optional<TimePoint> placementDeadline() const
    {
        return m_placementDeadline.until(m_listConfirmation, now());
    }
    /// Returns the current placement deadline of a request placed earlier, at an upstream that
    /// isn't leaving. Complexity: constant.
    TimePoint renewedDeadline(TimePoint placedUntil) const
    {
        return m_placementDeadline.renewed(placedUntil, m_listConfirmation);
    }
    /// Returns the delivery deadline of a run that continues at a leaving upstream, or nothing if
    /// that time has passed or is unknown. Complexity: constant.
    std::optional<TimePoint> deadlineWhileLeaving(const PooledUpstream &upstream) const;
    /// Returns the highest age in milliseconds of the list at a placement since the last call, or
    /// nothing if there was no placement. Safe to call from any thread.
    std::optional<std::int64_t> takePlacementListAge() { return m_placementListAge.take(); }
    void setPeer(const PeerReport &report);
    void setPeerLoadAt(const std::string &node, const UpstreamId &upstream, InFlightLoad load)
    {
        m_pool.setPeerLoadAt(node, upstream, load, now());
        m_waiting.refresh();
    }
    void removePeer(const std::string &node);
    /// Called with the load of an upstream to which a prompt was just sent that is long enough to
    /// announce at once.
    using LongPromptPlaced = std::function<void(const UpstreamId &, InFlightLoad)>;
    void onLongPromptPlaced(LongPromptPlaced placed) { m_longPromptPlaced = std::move(placed); }
    /// Consumes one retry of a service's requests, or returns false if none is left.
    bool takeRetry(const ServiceId &service);
    /// Called when retries were taken that the peers should be told of before the next exchange.
    using RetriesTaken = std::function<void()>;
    void onRetriesTaken(RetriesTaken taken) { m_retriesTaken = std::move(taken); }
    /// Records that a request was placed, and announces the load to the peers if the last argument
    /// is set.
    void recordPlacement(const PooledUpstream &upstream, std::int64_t ownTokens,
                         bool shouldAnnounce);
    /// Records a prompt that is about to be placed. Returns whether to announce it to the peers at
    /// once.
    bool shouldAnnounce(const ServiceId &service, std::int64_t ownTokens);
    /// Sets the factor by which exchanges with peers are spread out.
    void setExchangeStretch(int stretch)
    {
        m_quota.setExchangeStretch(stretch);
        m_pool.setExchangeStretch(stretch);
        m_isSpreadOut = stretch > 1;
    }
    /// Sets the number of VMs in the fleet, and the number it should have until this process has
    /// had time to receive messages from all of them; 0 after that.
    void setFleetSize(std::size_t nodes, std::size_t expected);
    /// Returns the report for the peers. Complexity: linear in the number of accounts and
    /// upstreams.
    TrafficReport report();
    /// Returns the counts of a usage window over all VMs.
    WindowCounts usageOf(WindowNumber window) const { return m_usage.total(window); }

    const ServingViewPointer &view() const { return m_view; }
    UpstreamPool &pool() { return m_pool; }
    FleetPrefillRates &reading() { return m_prefillRates; }
    UpstreamSpeeds &speeds() { return m_speeds; }
    FirstEventForecaster &forecaster() { return m_forecaster; }
    CompletionForecaster &completions() { return m_completions; }
    /// Returns how long a request of a route takes that is begun now, if that is known. Complexity:
    /// linear in the active calls.
    std::optional<DurationForecast> forecastCompletion(const ServingRoute &route) const;
    /// Returns how many prompt tokens an engine of a service reads in the given time; 0 if its
    /// speed isn't known.
    double tokensWithin(const ServiceId &service, Duration time) const;
    FleetQuota &quota() { return m_quota; }
    /// Decides whether an account's quota admits a request of a cost. May suspend the calling
    /// fiber.
    QuotaDecision admitByQuota(const ClientAccount &account, double cost);
    /// Asks the VM that owns an account's quota. Suspends the calling fiber.
    using AskQuotaOwner = std::function<QuotaDecision(const ClientAccount &account, double cost)>;
    void onQuotaOwnerAsked(AskQuotaOwner ask) { m_askQuotaOwner = std::move(ask); }
    /// Sets whether quotas are decided by their owners, and not by reports of all VMs.
    void setUsesQuotaOwners(bool usesOwners) { m_usesQuotaOwners = usesOwners; }
    RetryBudgetShare &allowance() { return m_retryBudget; }
    RetryBenefit &retryBenefit() { return m_retryBenefit; }
    EntryRelay &relay() { return m_relay; }
    EntryOrigins &origins() { return m_origins; }
    EntryCrashes &crashes() { return m_crashes; }
    EntryRollouts &rollouts() { return m_rollouts; }
    EntryBackpressure &backpressure() { return m_backpressure; }
    ConnectionWaiting &connections() { return m_connections; }
    EntryWaiting &waiting() { return m_waiting; }
    /// Returns what is known here of elements that may be the cause of an upstream's end, and of
    /// its service. Complexity: n log n.
    CrashKnowledge crashKnowledge(const ServiceId &service, const CrashElements &elements) const;
    RunMover &mover() { return *m_mover; }
    UpstreamClient &client() { return m_client; }
    /// Returns the memory for the answers that are held completely.
    const std::shared_ptr<BodyMemory> &answerMemory() const { return m_answerMemory; }
    /// Runs work in a fiber of the traffic thread.
    void spawn(std::function<void()> work) { m_loop.spawn(std::move(work)); }
    Logger &log() { return m_log; }
    Metrics &metrics() { return m_metrics; }
    const DataCentreId &dataCentre() const { return m_settings.m_dataCentre; }
    TimePoint now() const { return m_clock.now(); }
    /// Returns the time of day without jumps.
    WallMillis wallNow();
    void countUsage(const AccountId &account) { m_usage.add(account, wallNow()); }
    /// Returns a random number between 0 and 1, to spread events in time.
    double random();
    /// Returns a random 64-bit number.
    std::uint64_t draw();

private:
    void continueRetries(const std::string &peer, const EarlierRetries &earlier);
    void updateSpeeds();
    void logConnectionShares() const;
    bool mayContinueAt(const PooledUpstream &upstream) const;
    void logVersions(const std::map<UpstreamId, UpstreamRecord> &upstreams);

    const EntrySettings &m_settings;
    FiberLoop &m_loop;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    std::shared_ptr<BodyMemory> m_answerMemory = std::make_shared<BodyMemory>();
    UpstreamClient m_client;
    ServingViewPointer m_view;
    UpstreamPool m_pool;
    EntryBackpressure m_backpressure;
    ConnectionWaiting m_connections;
    std::map<ServiceId, SoftwareVersions> m_loggedVersions;
    HighestValue m_placementListAge;
    /// A list that was never confirmed counts as unconfirmable: waiting for a confirmation would
    /// leave all requests unserved.
    ListConfirmation m_listConfirmation{TimePoint{}, true};
    PlacementDeadline m_placementDeadline;
    FleetPrefillRates m_prefillRates;
    UpstreamSpeeds m_speeds;
    PromptAnnouncer m_promptAnnouncer;
    bool m_isSpreadOut = false;
    FirstEventForecaster m_forecaster;
    CompletionForecaster m_completions;
    /// As of the last report.
    std::map<ServiceId, PrefillRate> m_fleetPrefill;
    FleetQuota m_quota;
    AskQuotaOwner m_askQuotaOwner;
    bool m_usesQuotaOwners = false;
    RetryBudgetShare m_retryBudget;
    RetryBenefit m_retryBenefit;
    UsageCounts m_usage;
    std::unique_ptr<RunMover> m_mover;
    EntryRelay m_relay;
    EntryOrigins m_origins;
    EntryCrashes m_crashes;
    EntryRollouts m_rollouts;
    EntryWaiting m_waiting;
    std::set<EntryCall *> m_activeCalls;
    bool m_isCancellingCalls = false;
    std::optional<StopSchedule> m_stopSchedule;
    StartupKnowledge m_startupKnowledge;
    LongPromptPlaced m_longPromptPlaced;
    RetriesTaken m_retriesTaken;
    /// A report of the retries is under way to the peers.
    bool m_isReportRequested = false;
    SteadyWallClock m_wallClock;
    std::map<std::string, WallMillis> m_peerOffsets;
    std::uint64_t m_randomState;
};

} // namespace gypsumdale
