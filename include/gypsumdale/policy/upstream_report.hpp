#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint32_t, uint64_t

namespace gypsumdale {

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

} // namespace gypsumdale
