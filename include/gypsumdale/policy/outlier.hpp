#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <unordered_map> // unordered_map

namespace gypsumdale {

struct OutlierSettings
{
    /// Consecutive failures that eject an upstream.
    std::uint32_t m_failuresToEject = 5;
    /// Time without data, while requests run there, that ejects an upstream at once; zero to
    /// disable.
    Duration m_silenceLimit = std::chrono::seconds(10);
    /// Duration of the first ejection, doubled by each further one up to the longest.
    Duration m_firstEjection = std::chrono::seconds(5);
    Duration m_maxEjection = std::chrono::seconds(60);
    /// Maximum share of ejected upstreams; at least one stays in use.
    double m_maxEjectedShare = 0.5;
};

/// Ejects upstreams that fail for a while, then permits one request as a probe. The share of
/// ejected upstreams is bounded, as many failures at the same time are rarely caused by the
/// upstreams.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings = {});

    /// Sets the number of upstreams, for the bound on the ejected share.
    void setFleetSize(std::size_t size) { m_fleetSize = size; }

    /// Records a dispatch. For an upstream on probation it is the probe. Complexity: constant.
    void dispatched(const UpstreamId &upstream, TimePoint now);
    /// Records that data of an answer was received. Complexity: constant.
    void heard(const UpstreamId &upstream, TimePoint now);
    /// Records a successful attempt: ends the probation and resets the failures. Complexity:
    /// constant.
    void onSuccess(const UpstreamId &upstream, TimePoint now);
    /// Records a failure; may eject the upstream. Complexity: linear in the ejected ones.
    void onFailure(const UpstreamId &upstream, TimePoint now);
    /// Records the end of an attempt that shows nothing about the upstream, so that another probe
    /// may be sent. Complexity: constant.
    void onAbandoned(const UpstreamId &upstream);
    /// Ejects upstreams with requests in flight from which no data was received for too long.
    /// Complexity: linear.
    void checkSilence(TimePoint now);
    void forget(const UpstreamId &upstream);

    /// Returns whether a request may be sent there: the upstream is not ejected, or it is due for a
    /// probe and none is in flight.
    bool canUse(const UpstreamId &upstream, TimePoint now) const;
    bool isEjected(const UpstreamId &upstream) const;
    std::size_t ejectedCount() const;

private:
    struct Entry
    {
        std::uint32_t m_failures = 0;
        std::uint32_t m_ejections = 0;
        std::uint32_t m_outstanding = 0;
        TimePoint m_lastDataAt{};
        TimePoint m_ejectedUntil = TimePoint::min();
        bool m_isEjected = false;
        bool m_isProbing = false;
    };

    bool canEjectOne() const;
    void eject(Entry &entry, TimePoint now);

    OutlierSettings m_settings;
    std::size_t m_fleetSize = 0;
    std::unordered_map<UpstreamId, Entry> m_entries;
};

} // namespace gypsumdale
