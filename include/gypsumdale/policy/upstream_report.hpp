#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t

namespace gypsumdale {

/// State of an upstream, from its probes, the VM list and the price list.
struct UpstreamReport
{
    UpstreamId m_upstream;
    /// Increases when the upstream restarts; measurements and cache state of older incarnations are
    /// dropped.
    std::uint64_t m_incarnation = 0;
    DataCentreId m_dataCentre;
    RegionId m_region;
    std::uint32_t m_slots = 1;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    /// Time of the upstream's report on this process's clock; min() if there is none.
    TimePoint m_reportedAt = TimePoint::min();
    double m_pricePerHour = 0.0;
    bool m_isReclaimable = false;
    double m_reclaimRisk = 0.0;
    bool m_isLeaving = false;
};

/// How an attempt at an upstream ended, for the limits.
enum class AttemptEnd {
    /// The complete answer was received.
    Completed,
    /// The upstream failed or was silent; counts as a failure.
    Failed,
    /// The upstream refused the request before starting it; counts as a failure.
    Refused,
    /// The caller disconnected or the deadline passed; shows nothing about the upstream.
    Abandoned,
};

} // namespace gypsumdale
