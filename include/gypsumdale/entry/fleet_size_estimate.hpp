#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <cstddef> // size_t

namespace gypsumdale {

/// Estimates the number of VMs in the fleet for a process that may not have had time to receive
/// messages from all of them: after a power failure all VMs start at once and none has received
/// any.
class FleetSizeEstimate
{
public:
    FleetSizeEstimate(TimePoint startedAt, bool isFirstStart)
        : m_startedAt(startedAt)
        , m_isFirstStart(isFirstStart)
    {}

    /// Records the number of VMs in the registry when it was last read.
    void setRegistered(std::size_t vms) { m_registeredVms = vms; }
    bool isRegistryRead() const { return m_registeredVms > 0; }

    /// Returns the number of VMs that the fleet should have, as long as this process has not had
    /// time to receive messages from them, or receives them from fewer VMs than the registry lists
    /// and the rest may still report; 0 after that. livePeers is the number of live peers, seeds
    /// the number of peers in the settings.
    std::size_t expected(std::size_t livePeers, std::size_t seeds, TimePoint now) const;

    /// Returns the number of VMs that share budgets, including this one. A VM that is silent counts
    /// as long as the registry lists it: it may be running and only be unreachable from here, and
    /// its part would be used twice.
    std::size_t size(std::size_t livePeers, TimePoint now) const;

    /// Records the number of VMs that a peer has read in the registry, or was told; 0 if it doesn't
    /// know.
    void setTold(std::size_t vms) { m_toldVms = std::max(m_toldVms, vms); }
    /// Returns the number to tell peers; 0 while it isn't known.
    std::size_t numberToTell() const { return isRegistryRead() ? m_registeredVms : m_toldVms; }

    /// Returns whether the size of the fleet is known well enough to tell a small one from a large
    /// one.
    bool isKnown(TimePoint now) const { return numberToTell() > 0 || !isLearning(now); }

    /// Returns the number of VMs among which the rates of quotas are divided: more than there can
    /// be, until it is known.
    std::size_t quotaSize(std::size_t livePeers, TimePoint now) const;

private:
    bool isLearning(TimePoint now) const;
    bool hasMissingVms(std::size_t livePeers, TimePoint now) const;

    TimePoint m_startedAt;
    bool m_isFirstStart;
    std::size_t m_registeredVms = 0;
    std::size_t m_toldVms = 0;
};

} // namespace gypsumdale
