#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // min
#include <chrono> // milliseconds
#include <cstdint> // int64_t

namespace gypsumdale {

/// State that a reader reports to its followers.
struct UpdateState
{
    /// Number of the newest change of the upstreams, as counted by the reader.
    std::int64_t m_change = 0;
    std::int64_t m_configVersion = 0;
    /// Time of the reader's last read. Its updates are as recent as that.
    TimePoint m_readAt{};

    bool operator==(const UpdateState &) const = default;
};

/// Decides when a reader sends updates to its followers. Used by one thread.
class UpdatePacing
{
public:
    /// Interval at which the reader checks whether an update is due.
    static constexpr Duration tick = std::chrono::milliseconds(100);
    /// Interval of updates without changes: a third of the shortest time after which followers read
    /// for themselves.
    static constexpr Duration updateInterval = std::chrono::milliseconds(500);
    /// Longest wait for a follower's receipt.
    static constexpr Duration receiptTimeout = std::chrono::milliseconds(600);

    /// Complexity: constant.
    bool isDue(const UpdateState &state, TimePoint now) const
    {
        return m_sent != state || now - m_sentAt >= updateInterval;
    }

    /// Complexity: constant.
    void recordSent(const UpdateState &state, TimePoint now)
    {
        m_sent = state;
        m_sentAt = now;
    }

private:
    UpdateState m_sent;
    TimePoint m_sentAt{};
};

/// Backoff for a follower that sends no receipts: each full list that is sent to it loads its link
/// further. Used by one thread.
class ReceiptBackoff
{
public:
    static constexpr Duration initialBackoff = std::chrono::milliseconds(250);
    /// Shorter than half of the age limit, after which a follower without updates reads the store.
    static constexpr Duration maxBackoff = std::chrono::milliseconds(1000);

    /// Complexity: constant.
    bool isOver(TimePoint now) const { return now >= m_until; }
    void onMissed(TimePoint now)
    {
        m_until = now + m_nextDelay;
        m_nextDelay = std::min(2 * m_nextDelay, maxBackoff);
    }
    void onApplied() { *this = ReceiptBackoff(); }

private:
    TimePoint m_until{};
    Duration m_nextDelay = initialBackoff;
};

} // namespace gypsumdale
