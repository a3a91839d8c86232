#pragma once

#include <gypsumdale/fleet/upstream_state.hpp>

namespace gypsumdale {

/// Whether a node is the first or the second owner of an upstream, by rendezvous hashing.
enum class OwnerRank { First, Second };

/// When an owner that watches an upstream tells the others of it: the first one tells of notable
/// changes and again each interval; the second one, which would only repeat that, tells of changes
/// of state alone, unless the first one fell silent.
class ObservationSchedule
{
public:
    /// What was last told.
    UpstreamState state() const { return m_state; }

    /// The first owner spoke here.
    void recordFirstOwnerReport(TimePoint now) { m_firstOwnerSpokeAt = now; }

    /// Tells whether the word goes out now, and notes it as told if so. `interval` is the longest
    /// time between two words, `probeInterval` that between two probes.
    bool recordIfDue(OwnerRank rank, UpstreamState state, const UpstreamLoad &load,
                     Duration interval, Duration probeInterval, TimePoint now);

private:
    UpstreamLoad m_load;
    UpstreamState m_state = UpstreamState::Gone;
    TimePoint m_toldAt;
    TimePoint m_firstOwnerSpokeAt;
};

} // namespace gypsumdale
