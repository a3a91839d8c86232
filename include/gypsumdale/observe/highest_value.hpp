#pragma once

#include <atomic> // atomic
#include <cstdint> // int64_t
#include <limits> // numeric_limits
#include <optional> // optional

namespace gypsumdale {

/// Maximum of the values recorded since the last read. Safe from any thread, without a lock.
class HighestValue
{
public:
    /// Records a value. Complexity: constant while few threads record at the same time.
    void note(std::int64_t value)
    {
        std::int64_t highest = m_highest.load(std::memory_order_relaxed);
        while (highest < value
               && !m_highest.compare_exchange_weak(highest, value, std::memory_order_relaxed)) {
        }
    }

    /// Returns the highest recorded value and resets it, or returns nothing if none was recorded.
    std::optional<std::int64_t> take()
    {
        const std::int64_t highest = m_highest.exchange(none, std::memory_order_relaxed);
        return highest == none ? std::nullopt : std::optional(highest);
    }

private:
    static constexpr std::int64_t none = std::numeric_limits<std::int64_t>::min();

    std::atomic<std::int64_t> m_highest = none;
};

} // namespace gypsumdale
