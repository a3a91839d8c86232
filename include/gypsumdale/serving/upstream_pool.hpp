#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/serving/upstream_record.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr, weak_ptr
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// What an entry VM has in flight at an upstream.
struct InFlightLoad
{
    int m_running = 0;
    /// Prompt tokens of requests that have no first event yet.
    std::int64_t m_pendingTokens = 0;
    /// The upstream's start that it is in flight at; 0 where upstreams don't say.
    std::int64_t m_startedAt = 0;
};

/// Prompt tokens that another VM had waiting at an upstream, as of a moment.
struct ReportedPrompts
{
    TimePoint m_at{};
    std::int64_t m_tokens = 0;
};

/// One process of an upstream with what this VM knows of it beside its record.
struct PooledUpstream
{
    UpstreamRecord m_record;
    InFlightLoad m_own;
    /// Sum over the other VMs, as of their last reports.
    InFlightLoad m_peerTotal;
    /// The prompt tokens among it by VM, those that were told first in front.
    std::vector<ReportedPrompts> m_peerPrompts;
    /// Failures of the last requests, as a moving average from 0 to 1.
    double m_failureShare = 0;
    int m_failuresInRow = 0;
    TimePoint m_avoidUntil{};
    bool m_isGone = false;
    /// Another process has taken its name: what ran here has ended and what it held is lost.
    bool m_isReplaced = false;
    /// A moment at which it surely had not begun to leave, of one that leaves or has left; nothing
    /// where none is known.
    std::optional<TimePoint> m_notLeavingAt;
    /// Told once that it leaves or is gone, by who asked to be.
    std::map<const void *, std::function<void()>> m_onLeaving;
    /// Told of the start of that other process, by who asked to be.
    std::map<const void *, std::function<void(std::int64_t startedAt)>> m_onReplaced;

    /// Requests of all VMs in flight there, as far as is known.
    int running() const { return m_own.m_running + m_peerTotal.m_running; }
    /// Prompt tokens of all VMs' requests that are still to be read, as far as is known.
    std::int64_t pendingTokens() const
    {
        return m_own.m_pendingTokens + m_peerTotal.m_pendingTokens;
    }
    /// Returns what is left of them if the upstream has read at a speed, in tokens a second, since
    /// others told of theirs. Own ones are known to be still unread. Linear in the VMs that told.
    double unreadTokens(double speed, TimePoint now) const;
};

using PooledUpstreamPointer = std::shared_ptr<PooledUpstream>;

/// What the choice of an upstream depends on.
struct PlacementRequest
{
    ServiceId m_service;
    DataCentreId m_dataCentre;
    /// All prompt tokens; 0 for plain services.
    std::int64_t m_promptTokens = 0;
    /// Bytes of the request, which are paid for between data centres.
    std::size_t m_bodyBytes = 0;
    /// Prompt tokens in parts that other requests share.
    std::int64_t m_sharedTokens = 0;
    /// Prompt tokens that an engine may read in a row before the pause in the streams beside them
    /// is too long; 0 where that isn't known.
    double m_maxPauseTokens = 0;
    /// Prompt tokens that one engine reads in a second; 0 where that isn't known.
    double m_readingSpeed = 0;
    /// Peers hear of this request's placement at once.
    bool m_isAnnounced = false;
    /// Names the last shared part; empty where there is none.
    std::string m_affinityKey;
    /// Upstreams that are not to be chosen.
    std::set<UpstreamId> m_excluded;
    /// Drawn for this request: what the choice leaves to chance depends on it.
    std::uint64_t m_draw = 0;
};

/// How an attempt at an upstream ended, for its health.
enum class AttemptResult {
    Good,
    /// It refused before it ran the request.
    Refused,
    /// It answered with an error of its own.
    ServerError,
    /// The connection failed, broke or stayed silent.
    Broken,
};

/// The upstreams of one VM's traffic thread: load, health and the choice among them.
class UpstreamPool
{
public:
    /// Takes in the list of the control thread; load and health of those that stay are kept, and
    /// those that left are marked gone for the requests that still hold them. One that comes back
    /// while requests hold it is the same as before; one that started again is a new one, of which
    /// nothing is known. Who holds one that begins to leave is told; what leaves in this list had
    /// not begun to when the list before was last confirmed, if it was. Linear.
    void update(const std::map<UpstreamId, UpstreamRecord> &upstreams, std::int64_t revision = 0,
                std::optional<TimePoint> lastConfirmedAt = std::nullopt);

    /// Replaces what one other VM has in flight. Linear in the loads of all VMs.
    void setPeerLoad(const std::string &node, const std::map<UpstreamId, InFlightLoad> &loads,
                     TimePoint now);
    /// Replaces what one other VM has in flight at one upstream. Linear in the loads of all VMs.
    void setPeerLoadAt(const std::string &node, const UpstreamId &upstream, InFlightLoad load,
                       TimePoint now);
    void removePeer(const std::string &node);

    /// Takes in by how much exchanges with peers are spread out. From 2 on their loads are too old
    /// to be compared: the choice is left to chance in part.
    void setExchangeStretch(int stretch) { m_areReportsOld = stretch > 1; }

    /// Chooses the upstream that would serve the request soonest, or nullptr if there is none.
    /// Linear in the service's upstreams.
    ///
    /// With old reports all VMs see the same upstream as the least loaded one until they have heard
    /// from each other, and overrun it. A plain service's upstreams are then drawn, a busy one more
    /// rarely; engines are compared among the home of the prompt and a few that are drawn, or more
    /// for a prompt that peers hear of at once. What others had to read there counts less the
    /// longer ago they said so: engines have read on, and one that was busy at a report was avoided
    /// long after it was idle again.
    PooledUpstreamPointer choose(const PlacementRequest &request, TimePoint now) const;

    /// Tells whether upstreams whose entries vanished, and are kept for their return, are placed
    /// by: while as many of a service are missing as are there. Where fewer are, the store was out
    /// of this VM's reach only, and what is missing has left. Constant.
    static constexpr bool usesRetained(std::size_t kept, std::size_t all)
    {
        return 2 * kept >= all;
    }

    /// Returns the prompt tokens that wait at the engine with the fewest of them, of all data
    /// centres, or nothing where each is avoided or there is none. Linear in the upstreams.
    std::optional<std::int64_t> minPendingTokens(const PlacementRequest &request,
                                                 TimePoint now) const;

    /// Notes how an attempt ended. Constant.
    static void note(PooledUpstream &upstream, AttemptResult verdict, TimePoint now);

    const std::map<UpstreamId, PooledUpstreamPointer> &upstreams() const { return m_upstreams; }
    /// The revision of the list in use.
    std::int64_t revision() const { return m_revision; }
    /// Returns the age of the oldest report of a peer that counts. Linear in the peers.
    Duration reportAge(TimePoint now) const;

private:
    using Candidates = std::vector<PooledUpstreamPointer>;

    struct ToldLoad;

    PooledUpstreamPointer pooledFor(const UpstreamRecord &record);
    void sumPeerLoads();
    static void addPeerLoad(PooledUpstream &upstream, const ToldLoad &told);
    Candidates candidatesFor(const PlacementRequest &request) const;

    std::map<UpstreamId, PooledUpstreamPointer> m_upstreams;
    /// Those that left, as long as a request holds them.
    std::map<UpstreamId, std::weak_ptr<PooledUpstream>> m_departed;
    struct ToldLoad
    {
        InFlightLoad m_load;
        TimePoint m_at{};
    };
    struct PeerLoad
    {
        std::map<UpstreamId, ToldLoad> m_loads;
        TimePoint m_heardAt{};
    };
    std::map<std::string, PeerLoad> m_peerLoads;
    std::int64_t m_revision = 0;
    bool m_areReportsOld = false;
};

} // namespace gypsumdale
