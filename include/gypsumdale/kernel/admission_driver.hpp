#pragma once

#include <gypsumdale/kernel/control_context.hpp>
#include <gypsumdale/kernel/fleet_driver.hpp>
#include <gypsumdale/kernel/settings_view.hpp>
#include <gypsumdale/policy/admission.hpp>
#include <gypsumdale/policy/retry_budget.hpp>

#include <boost/fiber/future/promise.hpp>

#include <map> // map
#include <memory> // shared_ptr, unique_ptr
#include <string> // string
#include <variant> // variant

namespace gypsumdale {

/// The request may be sent to this upstream now.
struct Placed
{
    UpstreamId m_upstream;
    Endpoint m_endpoint;
};

/// The request must be answered with this error now.
struct NotPlaced
{
    Error m_error;
    Duration m_retryAfter{};
};

using Placement = std::variant<Placed, NotPlaced>;

/// Drives one AdmissionController per service. Fibers of queued requests are suspended here until
/// the request is dispatched or refused. Used on the control loop only.
class AdmissionDriver
{
public:
    AdmissionDriver(ControlContext &context, FleetDriver &fleet, const SettingsView &view);

    /// Starts polling. Must be called in a fiber of the control loop.
    void start();

    /// Waits until the request is dispatched or refused. Suspends the calling fiber, which must be
    /// one of the control loop.
    Placement place(const ServiceId &service, WaitingRequest request);

    /// Cancels a queued request whose caller disconnected.
    void cancel(const ServiceId &service, const RequestId &request);

    void firstToken(const ServiceId &service, const RequestId &request);
    void tokens(const ServiceId &service, const RequestId &request, std::uint32_t count);
    void usage(const ServiceId &service, const RequestId &request, std::uint32_t promptTokens,
               std::uint32_t generated);
    void finishAttempt(const ServiceId &service, const RequestId &request, AttemptEnd end);

    /// Decides whether a failed attempt is retried, based on the service's retry budget.
    RetryDecision decideRetry(const ServiceId &service, const AttemptState &attempt,
                              const RetryProfile &profile);
    void onFirstAttempt(const ServiceId &service);

    void onPeerLoad(const NodeId &peer, const PeerLoad &load);
    void onSettingsChanged();
    void onNodesChanged();
    void onUpstreamChanged(const UpstreamStateChanged &change);
    /// Refuses all queued and all later requests.
    void drain();

    std::size_t waiting() const;
    std::size_t waiting(const MemberId &member) const;
    std::size_t inFlight(const MemberId &member) const;
    std::uint64_t servedTokens(const MemberId &member) const;

private:
    struct Waiting
    {
        boost::fibers::promise<Placement> m_promise;
    };

    struct Service
    {
        AdmissionController m_controller;
        RetryBudget m_budget;
        std::map<RequestId, UpstreamId> m_placements;
    };

    Service &service(const ServiceId &id);
    Service makeService(const ServiceId &id) const;
    void run(const ServiceId &id, const AdmissionCommands &commands);
    void execute(const ServiceId &id, const Dispatch &command);
    void execute(const ServiceId &id, const Refuse &command);
    void resolveWaiting(const RequestId &request, Placement placement);
    void refreshUpstreams();
    void refreshUpstream(Service &service, const UpstreamView &view);
    void publishOwnLoad(const ServiceId &id, const UpstreamId &upstream);
    void poll();

    ControlContext &m_context;
    FleetDriver &m_fleet;
    const SettingsView &m_view;
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    std::map<RequestId, Waiting> m_waiting;
    pcg32 m_random;
    bool m_isDraining = false;
};

} // namespace gypsumdale
