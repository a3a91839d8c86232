#pragma once

#include <gypsumdale/core/clock.hpp>

#include <deque> // deque
#include <utility> // pair

namespace gypsumdale {

/// Sum of the values added within the last span, in slots of a fixed width. A value counts until
/// its whole slot is older than the span, so the sum is never too low.
class SlidingSum
{
public:
    explicit SlidingSum(Duration span, Duration slot = std::chrono::milliseconds(100))
        : m_span(span)
        , m_slot(slot)
    {}

    /// Adds a value. Complexity: amortised constant.
    void add(double value, TimePoint now)
    {
        expire(now);
        const TimePoint slot = now - now.time_since_epoch() % m_slot;
        if (m_slots.empty() || m_slots.back().first != slot)
            m_slots.emplace_back(slot, 0);
        m_slots.back().second += value;
        m_sum += value;
    }

    /// Returns the sum over the last span. Complexity: amortised constant.
    double sum(TimePoint now)
    {
        expire(now);
        return m_slots.empty() ? 0 : m_sum;
    }

private:
    void expire(TimePoint now)
    {
        while (!m_slots.empty() && m_slots.front().first + m_slot + m_span <= now) {
            m_sum -= m_slots.front().second;
            m_slots.pop_front();
        }
    }

    Duration m_span;
    Duration m_slot;
    std::deque<std::pair<TimePoint, double>> m_slots;
    double m_sum = 0;
};

} // namespace gypsumdale
