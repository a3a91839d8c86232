#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/observe/latency_histogram.hpp>
#include <gypsumdale/observe/metric_names.hpp>

#include <array> // array
#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <memory> // unique_ptr
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Limits on the number of members and classes with series of their own. Later ones are summed
/// under "other", so that a misconfigured or hostile caller can't make the set grow without bound.
struct MetricsLimits
{
    std::size_t m_members = 32;
    std::size_t m_profiles = 8;
};

/// Label of the members and classes beyond the limits.
constexpr std::string_view overflowSeriesName = "other";

/// Latencies and counts of one member or of one class. Safe from any thread, without a lock.
class RequestMetrics
{
public:
    void record(Latency latency, Duration duration);
    void add(RequestCounter counter, std::uint64_t amount = 1);
    std::uint64_t value(RequestCounter counter) const;
    LatencySnapshot snapshot(Latency latency) const;

private:
    std::array<LatencyHistogram, latencyCount> m_latencies;
    std::array<std::atomic<std::uint64_t>, requestCounterCount> m_counters{};
};

/// Series in which a request is counted: those of its member and those of its class. There is no
/// series per pair of member and class: the number of pairs is the product of both, and the metrics
/// page has to pass a slow link. Safe from any thread, without a lock.
class RequestSeries
{
public:
    RequestSeries(RequestMetrics &member, RequestMetrics &profile)
        : m_member(member)
        , m_profile(profile)
    {}

    void record(Latency latency, Duration duration);
    void add(RequestCounter counter, std::uint64_t amount = 1);

private:
    RequestMetrics &m_member;
    RequestMetrics &m_profile;
};

/// All metrics of one process.
///
/// Traffic threads share one set of relaxed atomic counters. The alternative, one set per thread
/// merged on reading, saves contention that does not exist at this rate (about 4,000 tokens per
/// second on a node at the planned peak), costs each thread a copy of every series, and can enforce
/// the limit on the number of series only per thread. A request looks up its series once and keeps
/// the reference.
class Metrics
{
public:
    explicit Metrics(MetricsLimits limits = {});
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increments a counter of the process. Complexity: constant. Takes no lock; any thread.
    void add(Counter counter, std::uint64_t amount = 1);

    /// Sets a counter that is maintained elsewhere, such as the number of lines a logger lost.
    /// Complexity: constant. Takes no lock.
    void assign(Counter counter, std::uint64_t total);

    /// Sets the current value of a gauge. Complexity: constant. Takes no lock; any thread.
    void set(Gauge gauge, std::int64_t value);

    /// Marks a gauge as having no current value. Complexity: constant. Takes no lock; any thread.
    void clear(Gauge gauge);

    /// Counts an answer that ended in the given error. Complexity: constant. Takes no lock; any
    /// thread.
    void countError(ErrorId id);

    /// Returns the series of a member and class. The reference stays valid for the lifetime of this
    /// object. Takes a lock; any thread. Complexity: logarithmic in the number of series.
    RequestSeries &series(const MemberId &member, const ProfileId &profile);

    std::uint64_t value(Counter counter) const;
    std::int64_t value(Gauge gauge) const;

    /// Returns one kind of latency summed over all classes. Complexity: linear in the number of
    /// classes.
    LatencySnapshot total(Latency latency) const;

    /// Returns the number of members and classes that have measures of their own. It never exceeds
    /// members + 1 and profiles + 1 together.
    std::size_t measuresCount() const;

    /// Returns all metrics in the text exposition format, version 0.0.4, to be served as
    /// metricsContentType. Complexity: linear in the number of members and classes.
    std::string expose() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Media type of the text that Metrics::expose() returns.
constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace gypsumdale
