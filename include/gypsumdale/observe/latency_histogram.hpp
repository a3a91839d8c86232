#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint64_t
#include <memory> // unique_ptr
#include <vector> // vector

namespace gypsumdale {

/// Counts of a histogram at one moment. Bucket i counts the durations above the previous bound and
/// up to m_upper[i]; the last bucket, which has no bound, counts all longer durations.
struct LatencySnapshot
{
    std::vector<Duration> m_upper;
    std::vector<std::uint64_t> m_counts;
    Duration m_sum{};

    /// Returns the number of recorded durations. Complexity: linear in the number of buckets.
    std::uint64_t count() const;

    /// Adds the counts of another histogram. Complexity: linear in the number of buckets.
    void merge(const LatencySnapshot &other);

    /// Returns the quantile for a share from 0 to 1, interpolated linearly within its bucket.
    /// Returns the highest bound if the quantile is beyond it, and zero if nothing was recorded.
    /// The error is at most the width of the bucket. Complexity: linear in the number of buckets.
    Duration quantile(double share) const;

    /// Returns the share of the durations up to a limit, interpolated linearly within the limit's
    /// bucket; 1 if nothing was recorded. Complexity: linear in the number of buckets.
    double shareWithin(Duration limit) const;
};

/// Histogram of durations with fixed buckets from 1 ms to 5 min. The targets of the standard
/// profiles (51 ms between tokens, 0.35 s to the first token) are bucket bounds. Safe from any
/// thread: the buckets are atomic counters, so that recording takes no lock, and a reader sees each
/// record at most once.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    /// Records a duration; a negative one counts as zero. Complexity: logarithmic in the number of
    /// buckets.
    void record(Duration duration);

    LatencySnapshot snapshot() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gypsumdale
