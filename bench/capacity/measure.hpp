#pragma once

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <ctime> // clock_gettime, timespec
#include <string> // string
#include <vector> // vector

namespace gypsumdale::bench {

/// Returns the bytes allocated with operator new and not freed, as counted by this program's
/// replacement of operator new, without the allocator's overhead.
std::int64_t heldBytes();

/// Measures the processor time of this thread, which excludes other programs on the machine.
class Stopwatch
{
public:
    double nanos() const { return processorNanos() - m_start; }

private:
    static double processorNanos()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        constexpr double nanosPerSecond = 1e9;
        return static_cast<double>(time.tv_sec) * nanosPerSecond
               + static_cast<double>(time.tv_nsec);
    }

    double m_start = processorNanos();
};

/// One cost measured at several sizes.
class Series
{
public:
    Series(std::string cost, std::string size)
        : m_cost(std::move(cost))
        , m_size(std::move(size))
    {}

    void add(double size, double value) { m_points.push_back({size, value}); }

    /// Prints the points, their least-squares line and the largest residual in percent of the
    /// largest value.
    void print() const;

private:
    struct Point
    {
        double m_size = 0;
        double m_value = 0;
    };

    std::string m_cost;
    std::string m_size;
    std::vector<Point> m_points;
};

void measurePeers();
void measureRunners();
void measureMembers();
void measureConfiguration();
void measureClaims();
void measureCheckpoints();
void measureDecisions();
void measureTokens();

} // namespace gypsumdale::bench
