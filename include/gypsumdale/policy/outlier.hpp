#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <unordered_map> // unordered_map

namespace gypsumdale {

struct OutlierSettings
{
    /// Failures in a row that eject an upstream.
    std::uint32_t m_failuresToEject = 5;
    /// Silence while requests run there that ejects an upstream at once; zero for never.
    Duration m_silenceLimit = std::chrono::seconds(10);
    /// How long the first ejection lasts; each further one doubles it up to the longest.
    Duration m_firstEjection = std::chrono::seconds(5);
    Duration m_maxEjection = std::chrono::seconds(60);
    /// Which part of the upstreams may be ejected at a time; at least one stays in use.
    double m_maxEjectedShare = 0.5;
};

/// Takes upstreams that fail out of use for a while, then lets one request through to probe them.
/// When many fail at once the cause is rarely the upstreams, so the ejected share is bounded.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings = {});

    /// Sets how many upstreams there are, for the bound on the ejected share.
    void setFleetSize(std::size_t size) { m_fleetSize = size; }

    /// Notes a dispatch; for an upstream on probation it is the probe. Constant.
    void dispatched(const UpstreamId &upstream, TimePoint now);
    /// Notes that some byte of an answer came: the upstream isn't silent. Constant.
    void heard(const UpstreamId &upstream, TimePoint now);
    /// Notes that an attempt brought an answer: ends probation and clears the failures. Constant.
    void onSuccess(const UpstreamId &upstream, TimePoint now);
    /// Notes a failure; may eject. Linear in the ejected ones.
    void onFailure(const UpstreamId &upstream, TimePoint now);
    /// Notes that an attempt ended without telling anything: a probe may be sent again. Constant.
    void onAbandoned(const UpstreamId &upstream);
    /// Looks for upstreams that owe answers and have been silent for too long. Linear.
    void checkSilence(TimePoint now);
    void forget(const UpstreamId &upstream);

    /// Tells whether a request may go there: not ejected, or due for a probe with none under way.
    bool canUse(const UpstreamId &upstream, TimePoint now) const;
    bool isEjected(const UpstreamId &upstream) const;
    std::size_t ejectedCount() const;

private:
    struct Entry
    {
        std::uint32_t m_failures = 0;
        std::uint32_t m_ejections = 0;
        std::uint32_t m_outstanding = 0;
        TimePoint m_heardAt{};
        TimePoint m_ejectedUntil = TimePoint::min();
        bool m_isEjected = false;
        bool m_isProbing = false;
    };

    bool mayEjectOne() const;
    void eject(Entry &entry, TimePoint now);

    OutlierSettings m_settings;
    std::size_t m_fleetSize = 0;
    std::unordered_map<UpstreamId, Entry> m_entries;
};

} // namespace gypsumdale
