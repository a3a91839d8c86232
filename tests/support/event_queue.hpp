#pragma once

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // pop_heap, push_heap
#include <chrono> // hours
#include <cstdint> // uint64_t
#include <functional> // function
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// Queue of actions to run at later times. The clock stands still while an action runs.
class EventQueue
{
public:
    TimePoint now() const { return m_now; }

    void after(Duration delay, std::function<void()> work)
    {
        m_entries.push_back({m_now + delay, m_added++, std::move(work)});
        std::push_heap(m_entries.begin(), m_entries.end());
    }

    void runUntil(TimePoint end)
    {
        while (!m_entries.empty() && m_entries.front().m_at <= end) {
            std::pop_heap(m_entries.begin(), m_entries.end());
            const Entry entry = std::move(m_entries.back());
            m_entries.pop_back();
            m_now = entry.m_at;
            entry.m_work();
        }
        m_now = end;
    }

private:
    struct Entry
    {
        TimePoint m_at{};
        std::uint64_t m_number = 0;
        std::function<void()> m_work;

        bool operator<(const Entry &other) const
        {
            return m_at != other.m_at ? m_at > other.m_at : m_number > other.m_number;
        }
    };

    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_added = 0;
    /// Heap with the earliest entry first.
    std::vector<Entry> m_entries;
};

} // namespace gypsumdale::testing
