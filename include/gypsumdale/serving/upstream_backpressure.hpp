#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/backpressure_signal.hpp>
#include <gypsumdale/serving/rate_limit_share.hpp>
#include <gypsumdale/serving/token_bucket.hpp>
#include <gypsumdale/serving/upstream_process.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <vector> // vector

namespace gypsumdale {

/// An upstream's last word on its request rate, as the VM that heard it tells it to its peers.
struct RateLimitReport
{
    UpstreamProcess m_process;
    /// Requests per second that it takes from all VMs; unset once its answers name no limit.
    std::optional<double> m_limit;
    TimePoint m_heardAt{};
};

/// A change of what is known of an upstream's request rate, for the log.
struct RateLimitChange
{
    UpstreamProcess m_process;
    /// Unset for a limit that has ended.
    std::optional<double> m_limit;
    /// Requests per second that this VM may send there.
    double m_share = 0;
    /// VMs among which the rate is divided.
    std::size_t m_vms = 1;
};

/// What a VM tells its peers of what upstreams have asked for.
struct BackpressureReport
{
    std::vector<RateLimitReport> m_rateLimits;
    /// Upstreams that said in an answer that they leave.
    std::vector<UpstreamProcess> m_leaving;
};

/// What the upstreams have said in their answers about the requests that they want, and what of it
/// is left to this VM.
///
/// An upstream in need names a limit for all VMs together. Each VM tells its peers what it heard,
/// and the last word of all counts. The rate is divided among a few VMs, selected for each upstream
/// by a hash that is the same at all of them, so that no message is needed for a placement. An
/// upstream that has said that it leaves is not used again. What was said holds for the upstream's
/// process, also while its entry is missing from the list. A rest is asked of one VM only, and
/// isn't told to others.
class UpstreamBackpressure
{
public:
    /// Sets this VM's name, by which its peers know it.
    void setNode(const NodeId &node) { m_node = node; }
    /// Records a peer that reports to this VM, or that doesn't any more. Complexity: linear in the
    /// limited upstreams times the VMs if the peer is new, otherwise logarithmic.
    void addPeer(const NodeId &peer, TimePoint now);
    void removePeer(const NodeId &peer, TimePoint now);
    /// Sets the number of VMs in the fleet, counted as many as there may be.
    void setFleetSize(std::size_t vms, TimePoint now);

    /// Records what an answer says. Returns the limit if it has changed. Complexity: logarithmic.
    std::optional<RateLimitChange> record(const UpstreamProcess &process,
                                          const BackpressureSignal &signal, TimePoint now);
    /// Records what a peer was told. Returns the limit if it has changed. Complexity: logarithmic.
    std::optional<RateLimitChange> mergePeer(const RateLimitReport &report, TimePoint now);

    /// Records that an upstream said in an answer, to this VM or to a peer, that it leaves. Returns
    /// whether that is news. Complexity: logarithmic.
    bool recordLeaving(const UpstreamProcess &process, TimePoint now);
    /// Returns whether an upstream has said that it leaves. Complexity: logarithmic.
    bool isLeaving(const UpstreamProcess &process) const;

    /// Records that an upstream wants nothing from this VM until a time. Of several times the
    /// latest counts. Complexity: linear in the upstreams that rest.
    void recordRest(const UpstreamProcess &process, TimePoint until, TimePoint now);
    /// Returns whether an upstream wants nothing from this VM now. Complexity: logarithmic.
    bool isResting(const UpstreamProcess &process, TimePoint now) const;

    /// Returns whether this VM may send a request to an upstream now. Complexity: logarithmic.
    bool accepts(const UpstreamProcess &process, TimePoint now) const;
    /// Returns the time until it may, at most `longest`. Complexity: logarithmic.
    Duration timeUntilAccepted(const UpstreamProcess &process, TimePoint now,
                               Duration longest) const;
    /// Returns the requests per second that this VM may send there; nothing if that isn't limited.
    /// Complexity: logarithmic.
    std::optional<double> shareOf(const UpstreamProcess &process) const;
    /// Takes one of this VM's permits for an upstream, if its rate is limited. Complexity:
    /// logarithmic.
    void takePermit(const UpstreamProcess &process, TimePoint now);

    /// Returns what peers may lack: the rates that this VM was the last one to hear, and which of
    /// the upstreams that are listed as ready leave. Complexity: linear in the upstreams that
    /// asked.
    BackpressureReport report(const std::set<UpstreamProcess> &ready, TimePoint now) const;
    /// Removes what has been out of date for long. Complexity: linear in the upstreams that asked.
    void removeExpired(const std::set<UpstreamProcess> &present, TimePoint now);

    bool isEmpty() const
    {
        return m_rateLimits.empty() && m_leaving.empty() && m_restsUntil.empty();
    }
    /// Returns the number of upstreams with a limit. Complexity: linear in the upstreams that
    /// asked.
    std::size_t limitedCount() const;

private:
    /// An upstream's limit, or that it had one until lately, and this VM's part of it.
    struct RateLimit
    {
        std::optional<double> m_limit;
        TimePoint m_heardAt{};
        /// This VM heard the last word itself.
        bool m_isOwn = false;
        bool m_isHolder = false;
        TokenBucket m_permits;
    };

    std::optional<RateLimitChange> apply(const RateLimitReport &report, bool isOwn, TimePoint now);
    void updateShare(const UpstreamProcess &process, RateLimit &limit, TimePoint now) const;
    void updateShares(TimePoint now);
    RateShareView viewOf(const RateLimit &limit) const;
    double firstPermits(const UpstreamProcess &process) const;
    bool isHolder(const UpstreamProcess &process, const RateShareView &view) const;
    void dropOldest();

    NodeId m_node;
    /// In order.
    std::vector<NodeId> m_peers;
    std::size_t m_vms = 1;
    std::map<UpstreamProcess, RateLimit> m_rateLimits;
    /// Upstreams that said that they leave, and when they were last in the list.
    std::map<UpstreamProcess, TimePoint> m_leaving;
    std::map<UpstreamProcess, TimePoint> m_restsUntil;
};

} // namespace gypsumdale
