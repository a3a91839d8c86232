#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/policy/fair_queue.hpp>
#include <gypsumdale/policy/first_token_times.hpp>
#include <gypsumdale/policy/outlier.hpp>
#include <gypsumdale/policy/routing.hpp>
#include <gypsumdale/policy/service_rate.hpp>
#include <gypsumdale/policy/slot_share.hpp>

#include <pcg_random.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <map> // map
#include <optional> // optional
#include <unordered_map> // unordered_map
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

struct AdmissionSettings
{
    FairQueueSettings m_queue;
    SlotShareSettings m_slots;
    OutlierSettings m_outlier;
    /// How many requests may wait here at most, of all members and of one.
    std::size_t m_maxWaiting = 2000;
    std::size_t m_maxWaitingPerMember = 1000;
    /// Which part of this entry VM's slots is kept free of members that have their share of them in
    /// flight already, so that the others find one without waiting. Costs throughput while few
    /// members are busy.
    double m_headroom = 0.1;
    /// A peer whose last heartbeat is older counts with its lent share.
    Duration m_peerMaxAge = std::chrono::milliseconds(750);
    /// An upstream whose last report is older is used only up to what the entry VMs know of.
    Duration m_reportMaxAge = std::chrono::seconds(10);
    /// Other regions are used only once what waits here would take longer than this.
    Duration m_spillAfter = std::chrono::milliseconds(200);
    /// A retry-after is never shorter or longer than these.
    Duration m_minRetryAfter = std::chrono::milliseconds(200);
    Duration m_maxRetryAfter = std::chrono::seconds(60);
};

/// A member's part in a service.
struct MemberShare
{
    MemberId m_member;
    double m_weight = 1.0;
    /// Requests in flight from this entry VM at most; 0 for no limit.
    std::uint32_t m_maxInFlight = 0;
};

/// What is known of an upstream from its probes, the VM list and the price list.
struct UpstreamReport
{
    UpstreamId m_upstream;
    /// Counts the upstream's restarts; a new one forgets what was measured and cached.
    std::uint64_t m_incarnation = 0;
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::uint32_t m_slots = 1;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    /// When the upstream made the report, on this process's clock; min() while there is none.
    TimePoint m_reportedAt = TimePoint::min();
    double m_pricePerHour = 0.0;
    bool m_isReclaimable = false;
    double m_reclaimRisk = 0.0;
    bool m_isLeaving = false;
};

/// What an entry VM tells its data centre's others in each heartbeat, for one service.
struct NodeLoad
{
    TokenCounts m_tokens;
    std::map<UpstreamId, std::uint32_t> m_inFlight;
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

/// How an attempt at an upstream ended, for the limits.
enum class AttemptEnd {
    /// The whole answer came.
    Completed,
    /// The upstream failed or went silent: counts against it.
    Failed,
    /// It refused before it started: counts against it as well.
    Refused,
    /// The caller went away or the deadline passed: says nothing of the upstream.
    Abandoned,
};

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
    void noteCacheEvent(const CacheEvent &event, TimePoint now);

    /// Takes a request in: it is dispatched, refused, or waits. May bring commands for others too.
    AdmissionCommands submit(WaitingRequest request, TimePoint now);

    /// Looks at what waits: to be called after every change, and every few tens of milliseconds.
    AdmissionCommands poll(TimePoint now);

    /// The caller went away. Waiting requests leave the queue; one in flight has to be ended with
    /// attemptEnded().
    bool cancel(const RequestId &request);

    /// Tells of progress of a dispatched request; unknown ids are ignored. Constant.
    void firstToken(const RequestId &request, TimePoint now);
    void tokens(const RequestId &request, std::uint32_t count, TimePoint now);

    /// Tells the real token numbers of a dispatched request once the upstream reports them; the
    /// difference to what was charged is corrected. Logarithmic.
    void usage(const RequestId &request, std::uint32_t promptTokens, std::uint32_t generated);

    /// Ends a dispatched attempt and frees its slot; unknown ids are ignored, so a doubled end does
    /// no harm. To try again, submit the request with the upstream added to m_tried.
    AdmissionCommands attemptEnded(const RequestId &request, AttemptEnd end, TimePoint now);

    /// Refuses all that waits and all that comes from now on.
    AdmissionCommands drain(TimePoint now);

    /// Returns what to put into the heartbeat.
    NodeLoad ownLoad() const;

    /// Estimates how long a new request of this member and class would wait for its dispatch.
    Duration waitEstimate(const MemberId &member, int priority, TimePoint now) const;

    const FairQueue &queue() const { return m_queue; }
    std::size_t inFlight() const { return m_running.size(); }
    std::size_t inFlight(const MemberId &member) const;
    std::uint32_t inFlightAt(const UpstreamId &upstream) const;
    /// Returns the upstreams as the routing sees them, for the operators' interface. Linear.
    std::vector<Candidate> candidates(TimePoint now) const;
    /// Tells whether an upstream is ejected because it failed too often.
    bool isEjected(const UpstreamId &upstream) const;

private:
    struct Upstream
    {
        UpstreamReport m_state;
        bool m_isRemoved = false;
        std::uint32_t m_own = 0;
        /// What the live peers count for, see peerCharge().
        std::uint32_t m_peers = 0;
        RecentDispatches m_recent;
        InFlightHistory m_history;
        double m_firstTokenSeconds = 0.0;
        TimePoint m_firstTokenAt{};
        double m_betweenTokensSeconds = 0.0;
        double m_failures = 0.0;
        TimePoint m_failuresAt{};
    };
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
    struct Peer
    {
        std::uint64_t m_incarnation = 0;
        std::map<UpstreamId, std::uint32_t> m_inFlight;
        TimePoint m_heardAt{};
        bool m_isStale = true;
    };

    explicit AdmissionController(const Builder &builder);

    bool mayRun(const MemberId &member) const;
    bool mayUseHeadroom(const MemberId &member) const;
    std::uint32_t foreignAllowance(const UpstreamReport &state) const;
    void countSlots(TimePoint now);
    std::uint32_t availableSlots(const Upstream &upstream, TimePoint now) const;
    bool isUsable(const Upstream &upstream, TimePoint now) const;
    bool hasUsableUpstream() const;
    bool hasSlot(const Upstream &upstream, TimePoint now) const;
    bool hasLocalSlot(const Upstream &upstream, TimePoint now) const;
    bool hasForeignSlot(const Upstream &upstream, TimePoint now) const;
    std::uint32_t rankOf(std::size_t node, const UpstreamId &upstream) const;
    std::uint32_t chargeOf(std::size_t node, const Upstream &upstream) const;
    void recountPeers(Upstream &upstream) const;
    void recountAll();
    void addCharges(std::size_t node, const std::map<UpstreamId, std::uint32_t> &touched, int sign);
    void refreshStalePeers(TimePoint now);
    Candidate candidate(const Upstream &upstream, TimePoint now) const;
    std::vector<Candidate> freeCandidates(TimePoint now) const;
    std::optional<Refuse> refuseAtOnce(const WaitingRequest &request);
    bool makeRoom(const MemberId &member, AdmissionCommands &commands);
    void dispatchWaiting(TimePoint now, AdmissionCommands &commands);
    AdmissionCommand route(WaitingRequest request, std::vector<Candidate> &free, TimePoint now);
    Dispatch dispatch(WaitingRequest request, const UpstreamId &upstream, TimePoint now);
    void expire(TimePoint now, double tokensPerSecond, AdmissionCommands &commands);
    Refuse fullRefusal(const WaitingRequest &request, ErrorId error, TimePoint now);
    void refuseWaiting(ErrorId error, Duration wait, AdmissionCommands &commands);
    RoutingRequest routingRequest(const WaitingRequest &request, TimePoint now) const;
    static double fadedFailures(const Upstream &upstream, TimePoint now);
    void noteEnd(Upstream &upstream, AttemptEnd end, TimePoint now);
    Duration retryAfter(Duration wait);

    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    AdmissionSettings m_settings;
    RoutingPolicy m_routing;
    pcg32 m_random;
    FairQueue m_queue;
    ServiceRate m_rate;
    FirstTokenTimes m_firstTokens;
    OutlierDetector m_outlier;
    /// The live entry VMs of the data centre in order, this one among them.
    std::vector<NodeId> m_nodes;
    std::size_t m_ownIndex = 0;
    std::map<MemberId, MemberShare> m_members;
    std::map<MemberId, std::uint32_t> m_memberInFlight;
    std::map<UpstreamId, Upstream> m_upstreams;
    std::unordered_map<RequestId, Running> m_running;
    std::map<NodeId, Peer> m_peers;
    /// The slots that peers leave to this entry VM at usable upstreams, and its requests there.
    std::uint32_t m_availableSlots = 0;
    std::uint32_t m_usedSlots = 0;
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

    NodeId m_node;
    DataCentreId m_dataCentre;
    RegionId m_region;
    AdmissionSettings m_settings;
    RoutingPolicy m_routing = PrefixAffinity{};
    std::uint64_t m_seed = 0;
};

} // namespace gypsumdale
