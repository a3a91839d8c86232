#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/log.hpp>
#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/serving/reach_check.hpp>
#include <gypsumdale/serving/relay_peers.hpp>
#include <gypsumdale/serving/upstream_pool.hpp>
#include <gypsumdale/serving/upstream_reach.hpp>

#include <cstdint> // uint64_t
#include <functional> // function
#include <map> // map
#include <memory> // shared_ptr
#include <optional> // optional
#include <set> // set
#include <string_view> // string_view
#include <utility> // move

namespace gypsumdale {

/// What this VM reports to its peers about requests that it can take from them.
struct RelayStatus
{
    /// Further relayed requests that it can take.
    int m_free = 0;
    std::set<ServiceId> m_cutOffServices;
};

/// Relaying of requests between VMs, as seen by one VM's traffic thread: which services it is cut
/// off from, which peers can take requests for them, and how many requests it has taken itself.
///
/// Before a service counts as cut off, connections to all its upstreams are tried. While it counts
/// as cut off, connections to its upstreams are tried in the background, and
/// requests are sent to them again as soon as one is opened.
class EntryRelay
{
public:
    /// Most relayed requests in flight: enough for a VM that serves another one's callers beside
    /// its own, and few enough for the memory of a small VM.
    static constexpr int maxTaken = 200;

    using RandomDraw = std::function<std::uint64_t()>;

    EntryRelay(FiberLoop &loop, UpstreamPool &pool, const Clock &clock, Logger &log,
               Metrics &metrics, RandomDraw draw)
        : m_loop(loop)
        , m_pool(pool)
        , m_clock(clock)
        , m_log(log)
        , m_metrics(metrics)
        , m_draw(std::move(draw))
    {}

    /// Returns whether requests for a service are to be relayed: it is cut off, and there are
    /// peers. Complexity: logarithmic.
    bool isUsedFor(const ServiceId &service) const
    {
        return m_reach.isCutOff(service) && !m_peers.isEmpty();
    }
    bool isCutOff(const ServiceId &service) const { return m_reach.isCutOff(service); }

    /// Records a connection that was opened to an upstream, or could not be.
    void recordConnected(const PooledUpstream &upstream);
    void recordUnreachable(const PooledUpstream &upstream);

    RelayPeers &peers() { return m_peers; }

    /// Accepts requests of peers from now on.
    void open() { m_isOpen = true; }
    /// Reports to the peers that no more requests are taken.
    void close() { m_isOpen = false; }
    RelayStatus status() const;

    /// Returns why a request from an IP address isn't taken, or nothing if it is.
    std::optional<std::string_view> refusalFor(std::string_view ip) const;

    /// Counts a request of a peer as in flight for the lifetime of the object.
    class TakenRequest
    {
    public:
        explicit TakenRequest(int &taken)
            : m_taken(taken)
        {
            ++m_taken;
        }
        ~TakenRequest() { --m_taken; }
        TakenRequest(const TakenRequest &) = delete;
        TakenRequest &operator=(const TakenRequest &) = delete;

    private:
        int &m_taken;
    };
    TakenRequest take();

private:
    /// A check of one service that is under way.
    struct RunningCheck
    {
        ServiceId m_service;
        ReachCheck m_check;
        /// Connections of the current batch that are still being tried.
        std::size_t m_pending = 0;
        bool m_isReached = false;
    };

    void check(const ServiceId &service);
    void tryNextBatch(const std::shared_ptr<RunningCheck> &check);
    void tryConnection(const std::shared_ptr<RunningCheck> &check,
                       const PooledUpstreamPointer &upstream);
    void beginCutOff(const ServiceId &service);
    void probe(const ServiceId &service);
    PooledUpstreamPointer chooseProbed(const ServiceId &service);

    FiberLoop &m_loop;
    UpstreamPool &m_pool;
    const Clock &m_clock;
    Logger &m_log;
    Metrics &m_metrics;
    RandomDraw m_draw;
    UpstreamReach m_reach;
    RelayPeers m_peers;
    std::set<ServiceId> m_checkedServices;
    /// Since when services are cut off.
    std::map<ServiceId, TimePoint> m_cutOffSince;
    int m_taken = 0;
    bool m_isOpen = false;
};

} // namespace gypsumdale
