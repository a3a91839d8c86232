#include "bench/capacity/measure.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm> // max
#include <atomic> // atomic
#include <cmath> // abs
#include <cstdlib> // free, malloc
#include <new> // bad_alloc

namespace {

std::atomic<std::int64_t> held = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *block = std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    held += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}

void operator delete(void *block) noexcept
{
    held -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    operator delete(block);
}

namespace gypsumdale::bench {

std::int64_t heldBytes()
{
    return held.load();
}

void Series::print() const
{
    const auto count = static_cast<double>(m_points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const Point &point : m_points) {
        sumX += point.m_size;
        sumY += point.m_value;
        sumXx += point.m_size * point.m_size;
        sumXy += point.m_size * point.m_value;
    }
    const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    const double base = (sumY - slope * sumX) / count;
    double residual = 0;
    double largest = 0;
    std::string points;
    for (const Point &point : m_points) {
        const double error = std::abs(point.m_value - (base + slope * point.m_size));
        residual = std::max(residual, error);
        largest = std::max(largest, std::abs(point.m_value));
        points += fmt::format(" {:g}:{:.4g}", point.m_size, point.m_value);
    }
    fmt::print("| {} | {:.4g} + {:.4g} per {} | {:.1f}% |{} |\n", m_cost, base, slope, m_size,
               largest == 0 ? 0 : 100 * residual / largest, points);
}

} // namespace gypsumdale::bench
