#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <deque> // deque

namespace gypsumdale {

/// Selects the placed prompts that are announced to peers at once, before the next exchange.
///
/// An engine that has just received a long prompt looks idle to all VMs that don't know of it yet,
/// and they send their prompts there too. In a small fleet every long prompt is announced. In a
/// large one each announcement goes to many VMs, and the cost of receiving them is bounded per VM:
/// there each VM announces only its longest prompts, so many that the whole fleet stays within that
/// bound.
class PromptAnnouncer
{
public:
    /// Sets the number of VMs in the fleet and whether exchange intervals are stretched.
    void setFleet(std::size_t fleetSize, bool isStretched);

    /// Records a placed prompt and returns whether it is to be announced at once. `speed` is the
    /// number of tokens an engine reads per second; nothing is announced while it is unknown.
    /// Complexity: linear in the prompts of the last seconds.
    bool shouldAnnounce(double ownTokens, double speed, TimePoint now);

private:
    struct Placed
    {
        TimePoint m_at{};
        double m_tokens = 0;
    };

    bool isAmongLongest(double ownTokens) const;

    std::deque<Placed> m_placed;
    std::size_t m_fleetSize = 1;
    bool m_isStretched = false;
};

} // namespace gypsumdale
