#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <cstddef> // size_t

namespace gypsumdale {

/// How far apart exchanges with so many peers are, and what silence means at that pace.
class ExchangePacing
{
public:
    /// How often a pair exchanges in a small fleet. Quotas are overrun by what comes in during one
    /// exchange.
    static constexpr Duration exchangeInterval = std::chrono::milliseconds(250);

    explicit ExchangePacing(std::size_t peers)
        : m_stretch(static_cast<int>(
                std::max<std::size_t>(1, (peers + peersAtFullPace - 1) / peersAtFullPace)))
    {}

    /// By how much exchanges are spread out for the size of the fleet; 1 in a small one.
    int stretch() const { return m_stretch; }
    bool isSpreadOut() const { return m_stretch > 1; }

    /// Silence after which the side of a pair that doesn't begin does.
    Duration initiationTimeout() const { return lostExchanges * m_stretch; }
    /// Silence within which a peer counts as heard just now.
    Duration respondingWithin() const { return heardAtFullPace * m_stretch; }

private:
    /// Beyond this many peers exchanges are spread out, so that a VM's control stays within its
    /// bound.
    static constexpr std::size_t peersAtFullPace = 12;
    /// Three exchanges were lost.
    static constexpr Duration lostExchanges = std::chrono::milliseconds(800);
    /// Longer than the side that doesn't begin waits.
    static constexpr Duration heardAtFullPace = std::chrono::milliseconds(1200);

    int m_stretch;
};

} // namespace gypsumdale
