#pragma once

#include "support/entry_stand_ins.hpp"

#include <gypsumdale/core/clock.hpp>

#include <algorithm> // max
#include <chrono> // steady_clock
#include <cstddef> // size_t
#include <mutex> // lock_guard, mutex
#include <vector> // vector

namespace gypsumdale::testing {

/// Returns the most of some sorted moments that lie within a window of this length.
template <typename Moment>
std::size_t mostWithin(const std::vector<Moment> &moments, Duration window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < moments.size(); ++last) {
        while (moments[last] - moments[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

using ArrivalClock = std::chrono::steady_clock;
using Arrival = ArrivalClock::time_point;

/// When requests arrived at an upstream. Its behaviour may run on another thread than the test.
class ArrivalTimes
{
public:
    void record()
    {
        const std::lock_guard lock(m_mutex);
        m_times.push_back(ArrivalClock::now());
    }

    /// Returns the arrivals from a moment on.
    std::vector<Arrival> since(Arrival begin) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Arrival> times;
        for (const Arrival time : m_times) {
            if (time >= begin)
                times.push_back(time);
        }
        return times;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_times;
};

} // namespace gypsumdale::testing
