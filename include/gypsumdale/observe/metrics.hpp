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

/// How many members and classes have series of their own. Those that come later are summed
/// under "other", so that a misconfigured or hostile caller can't grow the set without end.
struct MetricsLimits
{
    std::size_t m_members = 32;
    std::size_t m_profiles = 8;
};

/// The label of members and classes beyond the limits.
constexpr std::string_view otherSeriesName = "other";

/// Times and counts of one member, or of one class. Safe from any thread, without a lock.
class RequestMeasures
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

/// Where a request of a member and class is counted: with its member and with its class. Not for
/// each pair of both: pairs are as many as the product, and the page has to pass a slow link. Safe
/// from any thread, without a lock.
class RequestSeries
{
public:
    RequestSeries(RequestMeasures &member, RequestMeasures &profile)
        : m_member(member)
        , m_profile(profile)
    {}

    void record(Latency latency, Duration duration);
    void add(RequestCounter counter, std::uint64_t amount = 1);

private:
    RequestMeasures &m_member;
    RequestMeasures &m_profile;
};

/// All metrics of one process.
///
/// Traffic threads share one set of relaxed atomic counters. A set per thread, merged when read,
/// was weighed: it saves contention that this rate does not have (about 4,000 tokens a second on a
/// node at the planned peak), costs each thread a copy of every series, and can hold the bound on
/// series only for each thread. A request looks its series up once and keeps the reference.
class Metrics
{
public:
    explicit Metrics(MetricsLimits limits = {});
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Counts an event of the process. Constant, no lock, any thread.
    void add(Counter counter, std::uint64_t amount = 1);

    /// Sets a counter that is kept elsewhere, such as the lines a logger lost. Constant, no lock.
    void assign(Counter counter, std::uint64_t total);

    /// Sets what is measured at the moment. Constant, no lock, any thread.
    void set(Gauge gauge, std::int64_t value);

    /// Says that there is no measurement at the moment. Constant, no lock, any thread.
    void clear(Gauge gauge);

    /// Counts an answer that ended in this error. Constant, no lock, any thread.
    void countError(ErrorId id);

    /// Returns the series of a member and class, which lives as long as this object. Takes a lock;
    /// logarithmic in the series. Any thread.
    RequestSeries &series(const MemberId &member, const ProfileId &profile);

    std::uint64_t value(Counter counter) const;
    std::int64_t value(Gauge gauge) const;

    /// Returns one kind of latency summed over all classes. Linear in the classes.
    LatencySnapshot total(Latency latency) const;

    /// Returns for how many members and classes there are measures, which never exceeds members + 1
    /// and profiles + 1 together.
    std::size_t measuresCount() const;

    /// Writes everything in the text exposition format, version 0.0.4, to be served as
    /// metricsContentType. Linear in members and classes.
    std::string expose() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// The media type of what Metrics::expose() writes.
constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace gypsumdale
