#include <gypsumdale/observe/latency_histogram.hpp>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/option.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm> // max, min
#include <array> // array
#include <atomic> // atomic, memory_order_relaxed
#include <numeric> // accumulate
#include <tuple> // tuple

namespace gypsumdale {

namespace {

namespace histogram = boost::histogram;

/// Upper bounds of the buckets in milliseconds. The targets of the standard profiles, 51 and 350
/// ms, are bounds, so that the share of durations within a target is exact.
constexpr std::array<int, 26> bucketMillis = {
        1,   2,   5,   10,  15,   20,   30,   40,   51,    75,    100,   150,    200,
        250, 350, 500, 750, 1000, 1500, 2500, 5000, 10000, 20000, 60000, 120000, 300000};

constexpr std::size_t bucketCount = bucketMillis.size() + 1;

constexpr Duration upperBound(std::size_t bucket)
{
    return std::chrono::milliseconds(bucketMillis[bucket]);
}

using Axis = histogram::axis::variable<double, histogram::use_default,
                                       histogram::axis::option::overflow_t>;
constexpr bool threadSafe = true;
using Storage = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, threadSafe>>;
using Histogram = histogram::histogram<std::tuple<Axis>, Storage>;

/// Returns the axis in nanoseconds. Boost's bins exclude their upper edge while "le" in the
/// exposition format includes it. Durations are whole nanoseconds, so edges that are half a
/// nanosecond higher reconcile the two.
Axis makeAxis()
{
    constexpr double halfNanosecond = 0.5;
    std::vector<double> edges = {-halfNanosecond};
    for (std::size_t bucket = 0; bucket < bucketMillis.size(); ++bucket)
        edges.push_back(static_cast<double>(upperBound(bucket).count()) + halfNanosecond);
    return Axis(edges);
}

/// Returns the duration within a bucket below which the given share of its count lies, assuming a
/// uniform distribution.
Duration interpolate(Duration lower, Duration upper, double share)
{
    const auto width = static_cast<double>((upper - lower).count());
    return lower + Duration(static_cast<Duration::rep>(width * share));
}

} // namespace

std::uint64_t LatencySnapshot::count() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t{0});
}

void LatencySnapshot::merge(const LatencySnapshot &other)
{
    if (m_counts.empty()) {
        *this = other;
        return;
    }
    for (std::size_t bucket = 0; bucket < other.m_counts.size(); ++bucket)
        m_counts[bucket] += other.m_counts[bucket];
    m_sum += other.m_sum;
}

Duration LatencySnapshot::quantile(double share) const
{
    const double wanted = share * static_cast<double>(count());
    if (wanted <= 0)
        return Duration::zero();
    double below = 0;
    Duration lower = Duration::zero();
    for (std::size_t bucket = 0; bucket < m_upper.size(); ++bucket) {
        const auto inside = static_cast<double>(m_counts[bucket]);
        if (inside > 0 && below + inside >= wanted)
            return interpolate(lower, m_upper[bucket], (wanted - below) / inside);
        below += inside;
        lower = m_upper[bucket];
    }
    return lower;
}

double LatencySnapshot::shareWithin(Duration limit) const
{
    const auto all = static_cast<double>(count());
    if (all <= 0)
        return 1.0;
    double below = 0;
    Duration lower = Duration::zero();
    for (std::size_t bucket = 0; bucket < m_upper.size() && lower < limit; ++bucket) {
        const double width = static_cast<double>((m_upper[bucket] - lower).count());
        const double covered = static_cast<double>((limit - lower).count()) / width;
        below += static_cast<double>(m_counts[bucket]) * std::min(covered, 1.0);
        lower = m_upper[bucket];
    }
    return below / all;
}

struct LatencyHistogram::State
{
    Histogram m_buckets = histogram::make_histogram_with(Storage(), makeAxis());
    std::atomic<Duration::rep> m_sum = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_state(std::make_unique<State>())
{}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration duration)
{
    const Duration counted = std::max(duration, Duration::zero());
    m_state->m_buckets(static_cast<double>(counted.count()));
    m_state->m_sum.fetch_add(counted.count(), std::memory_order_relaxed);
}

LatencySnapshot LatencyHistogram::snapshot() const
{
    LatencySnapshot result;
    for (std::size_t bucket = 0; bucket < bucketMillis.size(); ++bucket)
        result.m_upper.push_back(upperBound(bucket));
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        result.m_counts.push_back(m_state->m_buckets.at(static_cast<int>(bucket)).value());
    result.m_sum = Duration(m_state->m_sum.load(std::memory_order_relaxed));
    return result;
}

} // namespace gypsumdale
