#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/serving/upstream_record.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// The prefill speed of one upstream process, as one VM observed it.
struct ObservedSpeed
{
    /// Start time of the process in wall milliseconds; 0 where upstreams don't report it.
    std::int64_t m_startedAt = 0;
    /// Prompt tokens per second.
    double m_tokensPerSecond = 0;
    int m_samples = 0;

    bool operator==(const ObservedSpeed &) const = default;
};

/// Observed speeds of one VM by upstream.
using ObservedSpeeds = std::map<UpstreamId, ObservedSpeed>;

/// The prefill speed of an upstream for placements.
struct PlacementSpeed
{
    /// Prompt tokens per second; 0 where the speed of the service applies.
    double m_tokensPerSecond = 0;
    /// Speed relative to the median of the service's upstreams. It is exactly 1 for an upstream
    /// near the median and for one that was not measured.
    double m_relative = 1;

    /// Returns the upstream's own speed, or that of its service, in tokens per second.
    double valueOr(double serviceSpeed) const
    {
        return m_tokensPerSecond > 0 ? m_tokensPerSecond : serviceSpeed;
    }
    bool operator==(const PlacementSpeed &) const = default;
};

/// An upstream's speed in comparison with its service's median.
enum class SpeedState { Usual, Faster, Slower, Unmeasured };

inline constexpr NameTable<SpeedState, 4> speedStateNames = {{
        {SpeedState::Usual, "usual"},
        {SpeedState::Faster, "faster"},
        {SpeedState::Slower, "slower"},
        {SpeedState::Unmeasured, "unmeasured"},
}};

/// A change of an upstream's state, and the values it is based on.
struct SpeedChange
{
    UpstreamId m_upstream;
    ServiceId m_service;
    SpeedState m_state = SpeedState::Usual;
    /// Prompt tokens per second; 0 if unmeasured.
    double m_tokensPerSecond = 0;
    double m_relative = 1;
    /// Samples of all VMs with an estimate, and the number of these VMs.
    int m_samples = 0;
    int m_vms = 0;
};

/// Estimates the prefill speed of each upstream process from requests of all VMs.
///
/// Load it handles: 77 VMs that each send an engine one request in five seconds, with three speeds
/// of engines, and engines that are 2.5 times slower for part of a second.
///
/// A request is a sample if its prompt was, as far as is known, the only one at the upstream.
/// Prompts of other VMs that no report shows yet, and short slowdowns, make some samples slow and
/// none fast, so that an upper quantile is used. The part of the delay that doesn't depend on the
/// prompt is estimated from all upstreams and subtracted; otherwise it would hide most of a fast
/// engine's advantage for short prompts. A VM measures the upstreams of its own data centre only:
/// those of another one, which it uses less, would seem slow because of the distance.
class UpstreamSpeeds
{
public:
    /// Measures the upstreams of this VM's data centre.
    explicit UpstreamSpeeds(DataCentreId dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {}

    /// Sets the current upstreams. Estimates of earlier processes are dropped. Complexity: linear
    /// in the upstreams and the peers' estimates.
    void setUpstreams(const std::map<UpstreamId, UpstreamRecord> &upstreams);

    /// Records the time from sending a request to its first event. Complexity: constant.
    void record(const UpstreamRecord &upstream, std::int64_t ownTokens, Duration wait,
                TimePoint now);

    /// Merges the estimates in one report of another VM: a report contains a few of them, and none
    /// if the VM shares none any longer. Returns the number of invalid estimates, which are
    /// ignored. Complexity: linear in the estimates.
    std::size_t mergePeer(const std::string &node, const ObservedSpeeds &speeds, TimePoint now);
    void removePeer(const std::string &node) { m_peers.erase(node); }

    /// Recomputes the speeds if the last time was a second ago. Returns the upstreams whose state
    /// has changed. Complexity: linear in the estimates of all VMs.
    std::vector<SpeedChange> update(TimePoint now);

    /// Returns the speeds of all upstreams of the services with uneven speeds, as of the last
    /// update.
    const std::map<UpstreamId, PlacementSpeed> &placementSpeeds() const { return m_speeds; }

    /// Returns the number of upstreams that are faster or slower than usual.
    std::int64_t unevenCount() const { return static_cast<std::int64_t>(m_states.size()); }

    /// Returns this VM's estimates for its peers, as of the last update: those of services whose
    /// speeds are uneven in the view of this VM or of two others.
    const ObservedSpeeds &shared() const { return m_shared; }

private:
    /// An upstream process in the current list.
    struct Process
    {
        ServiceId m_service;
        std::int64_t m_startedAt = 0;
    };
    /// A prompt that was alone at an upstream.
    struct Sample
    {
        double m_tokens = 0;
        double m_seconds = 0;
        TimePoint m_at{};
    };
    using Samples = std::deque<Sample>;
    /// Another VM's estimates, and when each was last received.
    struct Peer
    {
        ObservedSpeeds m_speeds;
        std::map<UpstreamId, TimePoint> m_receivedAt;
    };
    /// Speed of an upstream over the fleet.
    struct FleetSpeed
    {
        double m_tokensPerSecond = 0;
        int m_samples = 0;
        int m_vms = 0;
    };
    using FleetSpeeds = std::map<UpstreamId, FleetSpeed>;

    bool isCurrent(const UpstreamId &upstream, std::int64_t startedAt) const;
    void expirePeerSpeeds(TimePoint now);
    void dropUnrefreshed(TimePoint now);
    ObservedSpeeds ownSpeeds() const;
    static std::optional<double> delayOf(const Samples &samples);
    std::optional<FleetSpeed> fleetSpeed(const UpstreamId &upstream,
                                         const ObservedSpeeds &own) const;
    FleetSpeeds fleetSpeeds(const std::vector<UpstreamId> &upstreams,
                            const ObservedSpeeds &own) const;
    bool seesUneven(const ObservedSpeeds &speeds, const ServiceId &service) const;
    std::size_t unevenPeers(const ServiceId &service) const;
    void updateService(const ServiceId &service, const FleetSpeeds &measured,
                       std::vector<SpeedChange> &changes);
    SpeedChange assess(const UpstreamId &upstream, const FleetSpeed &speed, double median) const;
    void setState(const SpeedChange &change, std::vector<SpeedChange> &changes);

    DataCentreId m_dataCentre;
    std::map<UpstreamId, Process> m_processes;
    std::map<ServiceId, std::vector<UpstreamId>> m_services;
    std::map<UpstreamId, Samples> m_samples;
    /// Estimates of the other VMs; empty for one that shares none.
    std::map<std::string, Peer> m_peers;
    /// Upstreams that are faster or slower than usual.
    std::map<UpstreamId, SpeedState> m_states;
    std::map<UpstreamId, PlacementSpeed> m_speeds;
    ObservedSpeeds m_shared;
    std::optional<TimePoint> m_updatedAt;
};

} // namespace gypsumdale
