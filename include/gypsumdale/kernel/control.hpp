#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/drain.hpp>
#include <gypsumdale/kernel/admission_driver.hpp>
#include <gypsumdale/kernel/claim_driver.hpp>
#include <gypsumdale/kernel/config_driver.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/draining_run.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/kernel/job_driver.hpp>
#include <gypsumdale/kernel/request_context.hpp>
#include <gypsumdale/kernel/requests_under_way.hpp>
#include <gypsumdale/serving/completion_forecast.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Control state of one process: owns the drivers and passes the events of each to the others. Used
/// on the control loop only; other threads access it with FiberLoop::call and spawn.
class Control
{
public:
    /// Functions that the shutdown calls.
    struct ShutdownHooks
    {
        std::function<void()> m_stopAccepting;
        std::function<std::size_t()> m_requestsInFlight;
        /// Returns whether a caller is connected, or may still connect.
        std::function<bool()> m_hasCallers;
        std::function<void(const UnfinishedWork &)> m_exit;
        /// Returns the requests whose answers are not finished.
        std::function<std::vector<RequestUnderWay>()> m_requestsUnderWay;
    };

    Control(ControlContext context, AttemptCallbacks runAttempt);

    /// Listens on the peer address and starts all drivers. Must be called in a fiber of the control
    /// loop.
    Result<Done> start();

    /// Authenticates a caller and resolves its profile and service. Fails with CredentialRefused,
    /// ProfileUnknown or ServiceUnknown; the texts reveal nothing about what exists for other
    /// callers.
    Result<RequestContext> resolve(const CallerHeaders &claim, RequestId id);

    /// Returns the reason why requests are not accepted now, or nothing.
    std::optional<Error> unreadyReason() const;

    /// Returns the refusal of a run that this process, which drains, would probably cut; nothing if
    /// the run may be begun.
    std::optional<NotPlaced> refusalWhileDraining(const RequestContext &context,
                                                  const DrainingRun &run);
    /// Waits until an upstream can take a request, and refuses it if it may not be begun, before or
    /// after the wait. Suspends the calling fiber.
    Placement place(const RequestContext &context, const DrainingRun &run,
                    const WaitingRequest &waiting);
    /// Records how long a request took that was answered whole.
    void recordCompletion(const RequestContext &context);

    /// Starts the graceful shutdown.
    void shutDown(DrainCause cause, std::optional<TimePoint> deadline);
    void setShutdownHooks(ShutdownHooks hooks) { m_hooks = std::move(hooks); }

    /// Returns the number of requests whose answer is not finished, as counted by the callers'
    /// server.
    std::size_t requestsInFlight() const;
    /// Returns the highest version in force at a peer according to its last digest; 0 if none was
    /// received.
    ConfigVersion peerVersion(const NodeId &node) const;
    /// Asks a peer for its version in force of an object. Returns nothing if it doesn't answer.
    /// Suspends the calling fiber.
    std::optional<ConfigVersion> queryVersion(const NodeIdentity &peer, const ConfigKey &key,
                                              Duration timeout);
    /// Collects the decisions about a subject that the live nodes have recorded, oldest first.
    /// Suspends the calling fiber.
    std::vector<DecisionEvent> explain(DecisionSubject subject, const std::string &id,
                                       Duration timeout);

    ControlContext &context() { return m_context; }
    ConfigDriver &config() { return m_config; }
    FleetDriver &fleet() { return m_fleet; }
    AdmissionDriver &admission() { return m_admission; }
    ClaimDriver &claims() { return m_claims; }
    JobDriver &jobs() { return m_jobs; }
    const Drain &drain() const { return m_drain; }

private:
    void onSettingsChanged();
    void subscribeToFleet();
    wire::PeerReplyBody answerPeer(const NodeId &sender, const wire::PeerRequest &request);
    void onNodeChanged(const NodeStateChanged &change);
    void onOwnNotice(const LeavingNotice &notice);
    void run(const DrainCommands &commands);
    void execute(const FailReadiness &command);
    void execute(const StopAccepting &command);
    void execute(const HandOverJobs &command);
    void execute(const CutRemaining &command);
    void execute(const CloseConnections &command);
    void execute(const ExitProcess &command);
    void runDrain();
    void logCutRequests();
    void refreshGauges();
    void countUpstreams();
    void excludeSilentPeers();
    wire::VersionInForce ownVersion(const wire::VersionAsk &ask) const;
    wire::Decisions ownDecisions(const wire::DecisionsAsk &ask) const;
    std::vector<NodeId> liveLocalNodes() const;

    ControlContext m_context;
    FleetDriver m_fleet;
    ConfigDriver m_config;
    AdmissionDriver m_admission;
    ClaimDriver m_claims;
    JobDriver m_jobs;
    std::map<NodeId, ConfigVersion> m_peerVersions;
    TimePoint m_startedAt{};
    Drain m_drain;
    CompletionForecaster m_completions;
    ShutdownHooks m_hooks;
};

} // namespace gypsumdale
