#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/fleet/drain.hpp>
#include <gypsumdale/kernel/admission_driver.hpp>
#include <gypsumdale/kernel/claim_driver.hpp>
#include <gypsumdale/kernel/config_driver.hpp>
#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/kernel/job_driver.hpp>
#include <gypsumdale/kernel/request_context.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// All control state of one process, joined: what one driver learns the others are told. Lives on
/// the control loop; other threads reach it through FiberLoop::call and spawn.
class Control
{
public:
    /// What the process does at the steps of its shutdown.
    struct ShutdownHooks
    {
        std::function<void()> m_stopAccepting;
        std::function<std::size_t()> m_requestsInFlight;
        /// Whether a caller is connected, or may be yet.
        std::function<bool()> m_hasCallers;
        std::function<void(const UnfinishedWork &)> m_exit;
    };

    Control(ControlContext context, AttemptCallbacks runAttempt);

    /// Opens the peers' address and begins all duties; to be called in a fiber of the loop.
    Result<Done> start();

    /// Finds out who asks and under which promises. Fails with CredentialRefused, ProfileUnknown or
    /// ServiceUnknown; the texts say nothing of what exists for others.
    Result<RequestContext> resolve(const CallerHeaders &claim, RequestId id);

    /// Tells why requests are not taken now, or nothing.
    std::optional<Error> unreadyReason() const;

    /// Begins the graceful shutdown.
    void shutDown(DrainCause cause, std::optional<TimePoint> deadline);
    void setShutdownHooks(ShutdownHooks hooks) { m_hooks = std::move(hooks); }

    /// Requests whose answer is not finished, as the callers' server counts them.
    std::size_t requestsInFlight() const;
    /// Returns the highest version in force at a peer, as its last digest said; 0 if unheard.
    ConfigVersion peerVersion(const NodeId &node) const;
    /// Asks a peer which version of an object it has in force; nothing if it doesn't answer.
    /// Suspends the calling fiber.
    std::optional<ConfigVersion> queryVersion(const NodeIdentity &peer, const ConfigKey &key,
                                              Duration timeout);
    /// Collects what all live nodes remember of a subject, oldest first. Suspends the calling
    /// fiber.
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
    void listenToFleet();
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
    void refreshGauges();
    void countUpstreams();
    void passOverSilentPeers();
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
    ShutdownHooks m_hooks;
};

} // namespace gypsumdale
