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

/// What an entry VM tells its data centre's others in each heartbeat, for one service.
struct NodeLoad
{
    TokenCounts m_tokens;
    InFlightByUpstream m_inFlight;
};

/// Send the request to the upstream now.
struct Dispatch
{
    WaitingRequest m_request;
    UpstreamId m_upstream;
};

/// Answer the request now with this error and the time to come back.
struct Refuse
{
    RequestId m_request;
    ErrorId m_error = ErrorId::Internal;
    Duration m_retryAfter{};
};

using AdmissionCommand = std::variant<Dispatch, Refuse>;
using AdmissionCommands = std::vector<AdmissionCommand>;

/// Decides for one service on one entry VM which request goes to which upstream and when, and which
/// is refused. Every request submitted ends in exactly one Dispatch or Refuse, or in cancel().
class AdmissionController
{
public:
    class Builder;

    /// Sets the members' weights and limits; members not named weigh 1 and have no limit.
    void setMembers(const std::vector<MemberShare> &members);

    /// Sets the live entry VMs of the own data centre; this one counts also if not named.
    void setNodes(std::vector<NodeId> nodes);

    /// Takes an upstream's state, new or changed. Leaving is never undone for an incarnation.
    /// Logarithmic.
    void updateUpstream(const UpstreamReport &state, TimePoint now);
    void removeUpstream(const UpstreamId &upstream);

    /// Takes a peer's heartbeat; one of an older incarnation is ignored. Linear in the load.
    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const NodeLoad &load,
                   TimePoint now);
    void applyCacheEvent(const CacheEvent &event, TimePoint now);

    /// Takes a request in: it is dispatched, refused, or waits. May bring commands for others too.
    AdmissionCommands submit(WaitingRequest request, TimePoint now);

    /// Looks at what waits: to be called after every change, and every few tens of milliseconds.
    AdmissionCommands poll(TimePoint now);

    /// The caller went away. Waiting requests leave the queue; one in flight has to be ended with
    /// finishAttempt().
    bool cancel(const RequestId &request);

    /// Tells of progress of a dispatched request; unknown ids are ignored. Constant.
    void firstToken(const RequestId &request, TimePoint now);
    void tokens(const RequestId &request, std::uint32_t count, TimePoint now);

    /// Tells the real token numbers of a dispatched request once the upstream reports them; the
    /// difference to what was charged is corrected. Logarithmic.
    void usage(const RequestId &request, std::uint32_t promptTokens, std::uint32_t generated);

    /// Ends a dispatched attempt and frees its slot; unknown ids are ignored, so a doubled end does
    /// no harm. To try again, submit the request with the upstream added to m_triedUpstreams.
    AdmissionCommands finishAttempt(const RequestId &request, AttemptEnd end, TimePoint now);

    /// Refuses all that waits and all that comes from now on.
    AdmissionCommands drain(TimePoint now);

    /// Returns what to put into the heartbeat.
    NodeLoad ownLoad() const;

    /// Estimates how long a new request of this member and class would wait for its dispatch.
    Duration estimateWait(const MemberId &member, int priority, TimePoint now) const;

    const FairQueue &queue() const { return m_queue; }
    std::size_t inFlight() const { return m_running.size(); }
    std::size_t inFlight(const MemberId &member) const { return m_members.inFlight(member); }
    std::uint32_t inFlightAt(const UpstreamId &upstream) const
    {
        return m_upstreams.inFlightAt(upstream);
    }
    /// Returns the upstreams as the routing sees them, for the operators' interface. Linear.
    std::vector<Candidate> candidates(TimePoint now) const { return m_upstreams.candidates(now); }
    /// Tells whether an upstream is ejected because it failed too often.
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

    bool mayRun(const MemberId &member) const;
    bool isBehind(const MemberId &member) const;
    /// How long what waits would take at the measured rate; zero while that is unknown.
    Duration backlog() const;
    std::optional<Refuse> refuseAtOnce(const WaitingRequest &request);
    bool makeRoom(const MemberId &member, AdmissionCommands &commands);
    void dispatchWaiting(TimePoint now, AdmissionCommands &commands);
    AdmissionCommand route(WaitingRequest request, std::vector<Candidate> &free, TimePoint now);
    Dispatch dispatch(WaitingRequest request, const UpstreamId &upstream, TimePoint now);
    void expire(TimePoint now, double tokensPerSecond, AdmissionCommands &commands);
    Refuse fullRefusal(const WaitingRequest &request, ErrorId error, TimePoint now);
    void refuseWaiting(ErrorId error, Duration wait, AdmissionCommands &commands);
    RoutingRequest routingRequest(const WaitingRequest &request, TimePoint now) const;
    Duration retryAfter(Duration wait);

    AdmissionLocation m_place;
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

/// Makes an AdmissionController; node and data centre are needed, the rest has defaults.
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

    AdmissionLocation m_place;
    AdmissionSettings m_settings;
    RoutingPolicy m_routing = PrefixAffinity{};
    std::uint64_t m_seed = 0;
};

} // namespace gypsumdale
