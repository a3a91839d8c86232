#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/policy/slot_share.hpp>
#include <gypsumdale/serving/connection_share.hpp>
#include <gypsumdale/serving/upstream_backpressure.hpp>
#include <gypsumdale/serving/upstream_record.hpp>
#include <gypsumdale/serving/upstream_speed.hpp>
#include <gypsumdale/serving/version_gate.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr, weak_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// One entry VM's requests in flight at an upstream.
struct InFlightLoad
{
    int m_running = 0;
    /// Prompt tokens of requests that have no first event yet.
    std::int64_t m_pendingTokens = 0;
    /// Start time of the upstream process that serves them; 0 where upstreams don't report it.
    std::int64_t m_startedAt = 0;
};

/// Prompt tokens that were waiting at an upstream for another VM's requests, at a moment.
struct ReportedPrompts
{
    TimePoint m_at{};
    std::int64_t m_tokens = 0;
};

/// One process of an upstream with this VM's state about it, in addition to its record.
struct PooledUpstream
{
    UpstreamRecord m_record;
    InFlightLoad m_own;
    /// Sum over the other VMs, as of their last reports.
    InFlightLoad m_peerTotal;
    /// The pending prompt tokens of that sum by VM, oldest report first.
    std::vector<ReportedPrompts> m_peerPrompts;
    /// Its prefill speed; the default where the service's upstreams are equally fast.
    PlacementSpeed m_speed;
    /// The requests of that sum by VM, for VMs that have any.
    std::vector<int> m_peerRunning;
    /// This VM's recent requests in flight, where connections are limited.
    InFlightHistory m_ownHistory;
    /// Fewest own requests in flight since the last entry of the history.
    int m_ownLowest = 0;
    /// Called when a request has ended that was in flight here.
    std::function<void()> m_onRequestEnded;
    /// Failure rate of the last requests, as a moving average from 0 to 1.
    double m_failureShare = 0;
    /// When a part of an answer came last, or a request was sent while none was in flight.
    TimePoint m_lastHeardAt{};
    int m_failuresInRow = 0;
    TimePoint m_avoidUntil{};
    bool m_isGone = false;
    /// Another process has taken its id: everything that ran here has ended, and its state is lost.
    bool m_isReplaced = false;
    /// For an upstream that leaves or has left: a moment at which it was certainly not leaving yet;
    /// empty where none is known.
    std::optional<TimePoint> m_notLeavingAt;
    /// Listeners, by their owner, that are called once when the upstream leaves or is gone.
    std::map<const void *, std::function<void()>> m_onLeaving;
    /// Listeners, by their owner, that are called when another process takes its id.
    std::map<const void *, std::function<void(std::int64_t startedAt)>> m_onReplaced;

    UpstreamProcess process() const { return {m_record.m_id, m_record.m_startedAt}; }

    /// Records that a request is about to be sent.
    void awaitAnswerFrom(TimePoint now)
    {
        if (m_own.m_running == 0)
            m_lastHeardAt = now;
    }
    /// Returns for how long this VM has waited for any part of an answer.
    Duration silence(TimePoint now) const
    {
        return m_own.m_running > 0 ? now - m_lastHeardAt : Duration::zero();
    }
    /// Returns the known requests of all VMs in flight there.
    int running() const { return m_own.m_running + m_peerTotal.m_running; }
    /// Returns the known prompt tokens of all VMs' requests that are still to be read.
    std::int64_t pendingTokens() const
    {
        return m_own.m_pendingTokens + m_peerTotal.m_pendingTokens;
    }
    /// Returns the remaining pending tokens if the upstream has read at `speed`, in tokens per
    /// second, since the other VMs' reports. This VM's own ones are known to be unread. Complexity:
    /// linear in the VMs that reported.
    double unreadTokens(double speed, TimePoint now) const;
};

using PooledUpstreamPointer = std::shared_ptr<PooledUpstream>;

/// Prompt tokens that wait at one engine, and its speed.
struct EngineBacklog
{
    std::int64_t m_pendingTokens = 0;
    PlacementSpeed m_speed;
};

/// Inputs of the selection of an upstream.
struct PlacementRequest
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    /// All prompt tokens; 0 for plain services.
    std::int64_t m_promptTokens = 0;
    /// Size of the request; traffic between data centres is paid for by the byte.
    std::size_t m_bodyBytes = 0;
    /// Prompt tokens in parts that other requests share.
    std::int64_t m_sharedTokens = 0;
    /// Prompt tokens that an engine may read in a row before the pause in its other streams becomes
    /// too long; 0 where unknown.
    double m_maxPauseTokens = 0;
    /// Prompt tokens that one engine reads per second; 0 where unknown.
    double m_readingSpeed = 0;
    /// This request's placement is announced to peers at once.
    bool m_isAnnounced = false;
    /// Identifies the last shared part; empty where there is none.
    std::string m_affinityKey;
    /// Upstreams that must not be selected.
    std::set<UpstreamId> m_excluded;
    /// Upstreams that may be selected by their version; unset for all.
    std::optional<VersionScope> m_versions;
    /// Software version of the upstreams that may be selected, for work that goes on; with an
    /// unknown (empty) one none may. Not set for work that begins.
    std::optional<SoftwareVersion> m_softwareVersion;
    /// Random number of this request, used for the randomised part of the selection.
    std::uint64_t m_draw = 0;
};

/// When upstreams that have asked for fewer requests take one of this VM again.
struct BackpressureWait
{
    /// Time until the first of them does.
    Duration m_first{};
    /// Requests per second that this VM may send to all of them; unset where one of them only
    /// rests, and names no limit.
    std::optional<double> m_perSecond;
    std::size_t m_upstreams = 0;
};

/// Result of an attempt at an upstream, for its health.
enum class AttemptResult {
    Good,
    /// It refused before it ran the request.
    Refused,
    /// It answered with an error of its own.
    ServerError,
    /// The connection failed, broke or timed out.
    Broken,
};

/// The upstreams as seen by one VM's traffic thread: load, health and selection.
class UpstreamPool
{
public:
    /// Applies the list of the control thread. Load and health of remaining upstreams are kept;
    /// those that left are marked as gone for the requests that still hold them. An upstream that
    /// returns while requests hold it keeps its state; one that restarted, or whose software
    /// version has changed, is a new one without state. The holders of an upstream that begins to
    /// leave are notified; one that leaves in this list was not leaving when the previous list was
    /// last confirmed, if it was. Complexity: linear.
    void update(const std::map<UpstreamId, UpstreamRecord> &upstreams, std::int64_t revision = 0,
                std::optional<TimePoint> lastConfirmedAt = std::nullopt);

    /// Replaces one other VM's load. Complexity: linear in the loads of all VMs.
    void setPeerLoad(const std::string &node, const std::map<UpstreamId, InFlightLoad> &loads,
                     TimePoint now);
    /// Replaces one other VM's load at one upstream. Complexity: linear in the loads of all VMs.
    void setPeerLoadAt(const std::string &node, const UpstreamId &upstream, InFlightLoad load,
                       TimePoint now);
    void removePeer(const std::string &node);

    /// Sets the factor by which exchange intervals with peers are stretched. From 2 on, their loads
    /// are too old to be compared, and the selection is partly random.
    void setExchangeStretch(int stretch)
    {
        m_exchangeStretch = stretch;
        m_areReportsOld = stretch > 1;
    }

    /// Sets the number of VMs that place requests at the upstreams. Returns whether it has changed.
    bool setFleetSize(std::size_t vms);

    /// Sets how many connections an upstream accepts from all VMs, by service, for the services
    /// with a limit.
    void setConnectionLimits(std::map<ServiceId, int> limits);

    /// Sets what is called when a request has ended that was in flight at an upstream of a service.
    /// Must be set before the first list.
    void onRequestEnded(std::function<void(const ServiceId &)> listener)
    {
        m_onRequestEnded = std::move(listener);
    }

    /// Returns whether a service's connections are limited. Complexity: logarithmic.
    bool limitsConnections(const ServiceId &service) const
    {
        return m_connectionLimits.contains(service);
    }

    const std::map<ServiceId, int> &connectionLimits() const { return m_connectionLimits; }
    int fleetSize() const { return m_vms; }

    /// Returns the decision on an upstream's connections, if all upstreams that the request may be
    /// placed on are refused for lack of one; nothing if one has a free connection or there is no
    /// upstream. Complexity: linear in the service's upstreams.
    std::optional<ConnectionDecision> connectionShortage(const PlacementRequest &request,
                                                         TimePoint now) const;

    /// Returns what the upstreams have asked for in their answers.
    UpstreamBackpressure &backpressure() { return m_backpressure; }
    const UpstreamBackpressure &backpressure() const { return m_backpressure; }

    /// Returns when an upstream takes the request, if all that it may be placed on have asked for
    /// fewer requests than that; nothing if one takes it now or there is none. Complexity: linear
    /// in the service's upstreams.
    std::optional<BackpressureWait> backpressureWait(const PlacementRequest &request,
                                                     TimePoint now) const;

    /// Takes a permit of an upstream that choose() has selected, if its rate is limited: a request
    /// is about to be sent there. Complexity: logarithmic.
    void takePermit(const PooledUpstream &upstream, TimePoint now);

    /// Selects the upstream that would serve the request soonest, or nullptr if there is none.
    /// Complexity: linear in the service's upstreams.
    ///
    /// With old reports all VMs see the same upstream as the least loaded one until they receive
    /// each other's reports, and overload it. A plain service's upstream is then drawn at random,
    /// weighted against busy ones. Engines are compared among the prompt's home and a few random
    /// ones, or more of them for a prompt that is announced to peers at once. The pending tokens
    /// that others reported there are reduced by the age of their reports, since engines have
    /// continued reading; without this, an engine that was busy at a report was avoided long after
    /// it was idle again. Where engines are unevenly fast, their load counts as the time that they
    /// need for it, and a fast one is more likely to be compared.
    ///
    /// Upstreams without a free connection are skipped, and nullptr is returned if only they, or
    /// ones that failed recently, are left; see connectionShortage(). So are upstreams that have
    /// asked for fewer requests; see backpressureWait().
    PooledUpstreamPointer choose(const PlacementRequest &request, TimePoint now) const;

    /// Returns whether retained upstreams, whose entries vanished, are selected: as long as at
    /// least half of a service's upstreams are missing. Where fewer are, the store was only
    /// unreachable from this VM, and the missing ones have left. Complexity: constant.
    static constexpr bool usesRetained(std::size_t retained, std::size_t all)
    {
        return 2 * retained >= all;
    }

    /// Returns a service's upstreams that requests are placed on. Complexity: linear in the
    /// upstreams.
    std::vector<PooledUpstreamPointer> placeable(const ServiceId &service) const;

    /// Returns the service's upstreams that have sent nothing for a time to this VM, which awaits
    /// answers of them. Complexity: linear in the upstreams.
    std::set<UpstreamId> silentUpstreams(const ServiceId &service, Duration atLeast,
                                         TimePoint now) const;

    /// Clears what failed attempts have left at a service's upstreams, where the cause was this
    /// VM's own connection. Complexity: linear in the upstreams.
    void clearFailures(const ServiceId &service);

    /// Returns the fewest prompt tokens that wait at one engine, over all data centres, or nothing
    /// where all are avoided or there is none. Complexity: linear in the upstreams.
    std::optional<std::int64_t> minPendingTokens(const PlacementRequest &request,
                                                 TimePoint now) const;

    /// Returns what waits at the engines that are not avoided, over all data centres. Complexity:
    /// linear in the upstreams.
    std::vector<EngineBacklog> backlogs(const PlacementRequest &request, TimePoint now) const;

    /// Sets the speeds of the upstreams; those that are not included have the default. Complexity:
    /// linear in the upstreams.
    void setSpeeds(const std::map<UpstreamId, PlacementSpeed> &speeds);

    /// Records the result of an attempt. Complexity: constant.
    static void note(PooledUpstream &upstream, AttemptResult result, TimePoint now);

    const std::map<UpstreamId, PooledUpstreamPointer> &upstreams() const { return m_upstreams; }
    /// Returns the revision of the list in use.
    std::int64_t revision() const { return m_revision; }
    /// Returns the age of the oldest peer report that is in use. Complexity: linear in the peers.
    Duration reportAge(TimePoint now) const;
    /// Returns the number of other VMs whose load is known.
    std::size_t reportingPeers() const { return m_peerLoads.size(); }

private:
    using Candidates = std::vector<PooledUpstreamPointer>;

    struct ReportedLoad;

    PooledUpstreamPointer pooledFor(const UpstreamRecord &record);
    void sumPeerLoads();
    static void addPeerLoad(PooledUpstream &upstream, const ReportedLoad &report);
    Candidates candidatesFor(const PlacementRequest &request) const;
    std::optional<ConnectionDecision> keepConnectable(Candidates &candidates, TimePoint now) const;
    void keepAccepting(Candidates &candidates, TimePoint now) const;
    ConnectionDecision decideAt(PooledUpstream &upstream, ConnectionView view, TimePoint now) const;

    std::map<UpstreamId, PooledUpstreamPointer> m_upstreams;
    /// Upstreams that left and are still held by a request.
    std::map<UpstreamId, std::weak_ptr<PooledUpstream>> m_departed;
    struct ReportedLoad
    {
        InFlightLoad m_load;
        TimePoint m_at{};
    };
    struct PeerLoad
    {
        std::map<UpstreamId, ReportedLoad> m_loads;
        TimePoint m_receivedAt{};
    };
    std::map<std::string, PeerLoad> m_peerLoads;
    std::int64_t m_revision = 0;
    bool m_areReportsOld = false;
    int m_exchangeStretch = 1;
    int m_vms = 1;
    std::map<ServiceId, int> m_connectionLimits;
    UpstreamBackpressure m_backpressure;
    std::function<void(const ServiceId &)> m_onRequestEnded;
};

} // namespace gypsumdale
