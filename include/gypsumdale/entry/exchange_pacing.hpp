#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // milliseconds
#include <cstddef> // size_t

namespace gypsumdale {

/// Interval between exchanges for a number of peers, and the silence limits that follow from it.
class ExchangePacing
{
public:
    /// Interval between the exchanges of a pair in a small fleet. A quota can be exceeded by what
    /// is admitted within one interval.
    static constexpr Duration exchangeInterval = std::chrono::milliseconds(250);

    explicit ExchangePacing(std::size_t peers)
        : m_stretch(static_cast<int>(
                std::max<std::size_t>(1, (peers + peersAtFullRate - 1) / peersAtFullRate)))
    {}

    /// Factor by which exchanges are spread out for the size of the fleet; 1 in a small one.
    int stretch() const { return m_stretch; }
    bool isSpreadOut() const { return m_stretch > 1; }

    /// Silence after which the side of a pair that doesn't normally initiate an exchange does so.
    Duration initiationTimeout() const { return baseInitiationTimeout * m_stretch; }
    /// Silence up to which a peer counts as responding.
    Duration respondingWithin() const { return baseRespondingLimit * m_stretch; }

private:
    /// With more peers, exchanges are spread out to keep the processor time of the control thread
    /// within its limit.
    static constexpr std::size_t peersAtFullRate = 12;
    /// Three lost exchanges.
    static constexpr Duration baseInitiationTimeout = std::chrono::milliseconds(800);
    /// Longer than the side that doesn't normally initiate waits.
    static constexpr Duration baseRespondingLimit = std::chrono::milliseconds(1200);

    int m_stretch;
};

/// Returns the silence after which a VM doesn't count as an owner of quotas any more: one exchange
/// was missed.
inline Duration quotaOwnerSilence(const ExchangePacing &pacing)
{
    return ExchangePacing::exchangeInterval * pacing.stretch() * 3 / 2;
}

} // namespace gypsumdale
