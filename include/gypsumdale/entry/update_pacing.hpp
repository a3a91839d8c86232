#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <chrono> // milliseconds
#include <cstdint> // int64_t

namespace gypsumdale {

/// What a reader has to tell its followers.
struct UpdateState
{
    /// The newest change of the upstreams, counted by the reader.
    std::int64_t m_change = 0;
    std::int64_t m_configVersion = 0;
    /// When the reader last read: its word is as fresh as that.
    TimePoint m_readAt{};

    bool operator==(const UpdateState &) const = default;
};

/// Decides when a reader tells its followers. Called from one thread.
class UpdatePacing
{
public:
    /// How often the reader looks.
    static constexpr Duration tick = std::chrono::milliseconds(100);
    /// How often followers are told though nothing changed: three times within the shortest time
    /// after which they read for themselves.
    static constexpr Duration updateInterval = std::chrono::milliseconds(500);
    /// Longest wait for a follower's receipt.
    static constexpr Duration receiptTimeout = std::chrono::milliseconds(600);

    /// Constant.
    bool isDue(const UpdateState &state, TimePoint now) const
    {
        return m_told != state || now - m_toldAt >= updateInterval;
    }

    /// Constant.
    void recordSent(const UpdateState &state, TimePoint now)
    {
        m_told = state;
        m_toldAt = now;
    }

private:
    UpdateState m_told;
    TimePoint m_toldAt{};
};

/// Decides when a follower that gives no receipts is told the whole list again: each time fills its
/// link a little more. Called from one thread.
class ReceiptBackoff
{
public:
    static constexpr Duration initialBackoff = std::chrono::milliseconds(250);
    /// A follower that isn't told reads the store after half of the bound, which is longer.
    static constexpr Duration maxBackoff = std::chrono::milliseconds(1000);

    /// Constant.
    bool isOver(TimePoint now) const { return now >= m_until; }
    void onMissed(TimePoint now)
    {
        m_until = now + m_next;
        m_next = std::min(2 * m_next, maxBackoff);
    }
    void onApplied() { *this = ReceiptBackoff(); }

private:
    TimePoint m_until{};
    Duration m_next = initialBackoff;
};

} // namespace gypsumdale
