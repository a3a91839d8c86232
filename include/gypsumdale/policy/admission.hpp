#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/policy/admission_upstreams.hpp>
#include <gypsumdale/policy/fair_queue.hpp>
#include <gypsumdale/policy/first_token_times.hpp>
#include <gypsumdale/policy/member_slots.hpp>
#include <gypsumdale/policy/routing.hpp>
#include <gypsumdale/policy/service_rate.hpp>

#include <pcg_random.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <optional> // optional
#include <unordered_map> // unordered_map
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Load of an entry VM for one service, which it reports to its peers in the data centre with each
/// heartbeat.
struct NodeLoad
{
    TokenCounts m_tokens;
    InFlightByUpstream m_inFlight;
};

/// Command: sends the request to the upstream now.
struct Dispatch
{
    WaitingRequest m_request;
    UpstreamId m_upstream;
};

/// Command: answers the request now with this error and retry-after.
struct Refuse
{
    RequestId m_request;
    ErrorId m_error = ErrorId::Internal;
    Duration m_retryAfter{};
};

using AdmissionCommand = std::variant<Dispatch, Refuse>;
using AdmissionCommands = std::vector<AdmissionCommand>;

/// Admission control for one service on one entry VM: decides when each request is sent to which
/// upstream, and which requests are refused. Every submitted request ends in exactly one Dispatch
/// or Refuse, or in cancel().
class AdmissionController
{
public:
    class Builder;

    /// Sets the members' weights and limits. Members that are not listed have weight 1 and no
    /// limit.
    void setMembers(const std::vector<MemberShare> &members);

    /// Sets the live entry VMs of this VM's data centre. This VM always counts, listed or not.
    void setNodes(std::vector<NodeId> nodes);

    /// Applies the state of a new or known upstream. An incarnation that is leaving stays so.
    /// Complexity: logarithmic.
    void updateUpstream(const UpstreamReport &state, TimePoint now);
    void removeUpstream(const UpstreamId &upstream);

    /// Applies a peer's heartbeat; ignores one of an older incarnation. Complexity: linear in the
    /// load.
    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const NodeLoad &load,
                   TimePoint now);
    void applyCacheEvent(const CacheEvent &event, TimePoint now);

    /// Submits a request, which is dispatched, refused or queued. The commands returned may concern
    /// other requests too.
    AdmissionCommands submit(WaitingRequest request, TimePoint now);

    /// Processes the queue. Must be called after every change, and every few tens of milliseconds.
    AdmissionCommands poll(TimePoint now);

    /// Cancels a request whose caller disconnected. A queued request leaves the queue; one in
    /// flight must still be ended with finishAttempt().
    bool cancel(const RequestId &request);

    /// Records progress of a dispatched request; ignores unknown ids. Complexity: constant.
    void firstToken(const RequestId &request, TimePoint now);
    void tokens(const RequestId &request, std::uint32_t count, TimePoint now);

    /// Sets the token numbers that the upstream reported for a dispatched request, and corrects
    /// what was charged so far. Complexity: logarithmic.
    void usage(const RequestId &request, std::uint32_t promptTokens, std::uint32_t generated);

    /// Ends a dispatched attempt and frees its slot; ignores unknown ids, so it is safe to end an
    /// attempt twice. To retry, submit the request again with the upstream added to
    /// m_triedUpstreams.
    AdmissionCommands finishAttempt(const RequestId &request, AttemptEnd end, TimePoint now);

    /// Refuses all queued and all later requests.
    AdmissionCommands drain(TimePoint now);

    /// Returns the load to report in the next heartbeat.
    NodeLoad ownLoad() const;

    /// Estimates how long a new request of this member and class would be queued.
    Duration estimateWait(const MemberId &member, int priority, TimePoint now) const;

    const FairQueue &queue() const { return m_queue; }
    std::size_t inFlight() const { return m_running.size(); }
    std::size_t inFlight(const MemberId &member) const { return m_members.inFlight(member); }
    std::uint32_t inFlightAt(const UpstreamId &upstream) const
    {
        return m_upstreams.inFlightAt(upstream);
    }
    /// Returns the upstreams as routing candidates, for the admin interface. Complexity: linear.
    std::vector<Candidate> candidates(TimePoint now) const { return m_upstreams.candidates(now); }
    /// Returns whether an upstream is ejected because of repeated failures.
    bool isEjected(const UpstreamId &upstream) const { return m_upstreams.isEjected(upstream); }

private:
    struct Running
    {
        MemberId m_member;
        ProfileId m_profile;
        UpstreamId m_upstream;
        std::uint64_t m_incarnation = 0;
        TimePoint m_dispatchedAt{};
        std::optional<TimePoint> m_lastTokenAt;
        /// Tokens charged so far for prompt and answer.
        std::uint64_t m_charged = 0;
    };
    explicit AdmissionController(const Builder &builder);

    bool canRun(const MemberId &member) const;
    bool isBehind(const MemberId &member) const;
    /// Returns how long the queued work takes at the measured rate; zero while the rate is unknown.
    Duration backlog() const;
    std::optional<Refuse> refuseImmediately(const WaitingRequest &request);
    bool evictQueued(const MemberId &member, AdmissionCommands &commands);
    void dispatchWaiting(TimePoint now, AdmissionCommands &commands);
    AdmissionCommand route(WaitingRequest request, std::vector<Candidate> &free, TimePoint now);
    Dispatch dispatch(WaitingRequest request, const UpstreamId &upstream, TimePoint now);
    void expire(TimePoint now, double tokensPerSecond, AdmissionCommands &commands);
    Refuse fullRefusal(const WaitingRequest &request, ErrorId error, TimePoint now);
    void refuseWaiting(ErrorId error, Duration wait, AdmissionCommands &commands);
    RoutingRequest routingRequest(const WaitingRequest &request, TimePoint now) const;
    Duration retryAfter(Duration wait);

    AdmissionLocation m_location;
    AdmissionSettings m_settings;
    AdmissionUpstreams m_upstreams;
    RoutingPolicy m_routing;
    pcg32 m_random;
    FairQueue m_queue;
    ServiceRate m_rate;
    FirstTokenTimes m_firstTokens;
    MemberSlots m_members;
    std::unordered_map<RequestId, Running> m_running;
    SlotCount m_slots;
    bool m_isDraining = false;
};

/// Builds an AdmissionController. Node and data centre are required, the rest has defaults.
class AdmissionController::Builder
{
public:
    Builder &node(NodeId node);
    Builder &dataCentre(DataCentreId dataCentre);
    Builder &region(RegionId region);
    Builder &settings(AdmissionSettings settings);
    Builder &routing(RoutingPolicy routing);
    Builder &seed(std::uint64_t seed);
    AdmissionController build() const;

private:
    friend class AdmissionController;

    AdmissionLocation m_location;
    AdmissionSettings m_settings;
    RoutingPolicy m_routing = PrefixAffinity{};
    std::uint64_t m_seed = 0;
};

} // namespace gypsumdale
