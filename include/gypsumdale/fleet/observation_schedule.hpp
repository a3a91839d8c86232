#pragma once

#include <gypsumdale/fleet/upstream_state.hpp>

namespace gypsumdale {

/// Whether a node is the first or the second owner of an upstream, by rendezvous hashing.
enum class OwnerRank { First, Second };

/// Determines when an owner that probes an upstream reports it to the others. The first owner
/// reports notable changes, and repeats the report after each interval. The second owner would only
/// repeat that, so it reports state changes alone, unless the first one is silent.
class ObservationSchedule
{
public:
    /// Returns the last reported state.
    UpstreamState state() const { return m_state; }

    /// Records that a report of the first owner arrived.
    void recordFirstOwnerReport(TimePoint now) { m_firstOwnerReportedAt = now; }

    /// Returns whether a report is due now, and if so records it as sent. `interval` is the maximum
    /// time between two reports, `probeInterval` the one between two probes.
    bool recordIfDue(OwnerRank rank, UpstreamState state, const UpstreamLoad &load,
                     Duration interval, Duration probeInterval, TimePoint now);

private:
    UpstreamLoad m_load;
    UpstreamState m_state = UpstreamState::Gone;
    TimePoint m_sentAt;
    TimePoint m_firstOwnerReportedAt;
};

} // namespace gypsumdale
