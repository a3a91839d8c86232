#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t

namespace gypsumdale {

/// How many VMs the fleet has, as a process takes it that may not have had the time to hear them:
/// after a power cut all VMs start at once and none has heard another.
class FleetSizeEstimate
{
public:
    FleetSizeEstimate(TimePoint startedAt, bool isFirstStart)
        : m_startedAt(startedAt)
        , m_isFirstStart(isFirstStart)
    {}

    /// Notes how many VMs the registry had when it was last read.
    void setRegistered(std::size_t vms) { m_registered = vms; }
    bool isRegistryRead() const { return m_registered > 0; }

    /// Returns the VMs that the fleet should have, as long as this process has not had the time to
    /// hear them, or hears fewer than the registry names and may still hear the rest; 0 after that.
    /// Members are the peers heard, seeds those that the settings name.
    std::size_t expected(std::size_t livePeers, std::size_t seeds, TimePoint now) const;

    /// Returns the VMs that budgets are shared with, this one among them.
    std::size_t size(std::size_t livePeers, TimePoint now) const;

private:
    bool isLearning(TimePoint now) const;
    bool isMissingRegistered(std::size_t livePeers, TimePoint now) const;

    TimePoint m_startedAt;
    bool m_isFirstStart;
    std::size_t m_registered = 0;
};

} // namespace gypsumdale
