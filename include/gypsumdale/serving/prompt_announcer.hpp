#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <deque> // deque

namespace gypsumdale {

/// Decides which placed prompts the peers are told of at once, before the next exchange.
///
/// An engine that has just got a long prompt looks idle to all VMs that have not heard of it, and
/// they send theirs there too. In a small fleet every long prompt is told. In a large one each word
/// goes to many VMs, and what a VM may spend on hearing others is bounded: there each VM tells of
/// its longest prompts, so many of them that the fleet together stays within that bound.
class PromptAnnouncer
{
public:
    /// Takes in how many VMs the fleet has, and whether its exchanges are spread out.
    void setFleet(std::size_t vms, bool isSpreadOut);

    /// Notes a prompt that was placed and tells whether peers are to hear of it at once. `speed` is
    /// what an engine reads in a second; nothing is told while it isn't known. Linear in the
    /// prompts of the last seconds.
    bool shouldAnnounce(double ownTokens, double speed, TimePoint now);

private:
    struct Placed
    {
        TimePoint m_at{};
        double m_tokens = 0;
    };

    bool isAmongLongest(double ownTokens) const;

    std::deque<Placed> m_placed;
    std::size_t m_vms = 1;
    bool m_isSpreadOut = false;
};

} // namespace gypsumdale
