#include <gypsumdale/observe/metrics.hpp>

#include <observe/detail/exposition.hpp>
#include <observe/detail/metric_texts.hpp>

#include <fmt/format.h>

#include <map> // map
#include <mutex> // lock_guard, mutex
#include <set> // set
#include <utility> // pair

namespace gypsumdale {

namespace {

constexpr std::size_t errorNumberEnd = 1000;
constexpr std::string_view errorsName = "gypsumdale_errors_total";
constexpr std::string_view errorsHelp = "Answers that ended in an error, by the error's name.";

/// Returns the name as a label if it is known or there is room for one more, and "other" otherwise.
std::string admitName(std::set<std::string> &known, std::size_t limit, const std::string &text)
{
    std::string name = detail::escapeLabel(text);
    if (known.contains(name))
        return name;
    if (known.size() >= limit)
        return std::string(otherSeriesName);
    known.insert(name);
    return name;
}

} // namespace

void RequestSeries::record(Latency latency, Duration duration)
{
    m_latencies[static_cast<std::size_t>(latency)].record(duration);
}

void RequestSeries::add(RequestCounter counter, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t RequestSeries::value(RequestCounter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

LatencySnapshot RequestSeries::snapshot(Latency latency) const
{
    return m_latencies[static_cast<std::size_t>(latency)].snapshot();
}

struct Metrics::State
{
    struct GaugeValue
    {
        std::atomic<std::int64_t> m_value = 0;
        std::atomic<bool> m_isSet = false;
    };
    /// The labels of member and profile, escaped.
    using SeriesKey = std::pair<std::string, std::string>;

    explicit State(MetricsLimits limits)
        : m_limits(limits)
    {}

    void exposeSeries(detail::Exposition &out) const;
    void exposeProcess(detail::Exposition &out) const;
    void exposeErrors(detail::Exposition &out) const;

    MetricsLimits m_limits;
    std::array<std::atomic<std::uint64_t>, counterCount> m_counters{};
    std::array<GaugeValue, gaugeCount> m_gauges;
    std::array<std::atomic<std::uint64_t>, errorNumberEnd> m_errors{};
    mutable std::mutex m_mutex;
    std::set<std::string> m_members;
    std::set<std::string> m_profiles;
    /// Nodes of a map stay where they are, so that references to series stay valid.
    std::map<SeriesKey, RequestSeries> m_series;
};

Metrics::Metrics(MetricsLimits limits)
    : m_state(std::make_unique<State>(limits))
{}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, std::uint64_t amount)
{
    m_state->m_counters[static_cast<std::size_t>(counter)].fetch_add(amount,
                                                                     std::memory_order_relaxed);
}

void Metrics::assign(Counter counter, std::uint64_t total)
{
    m_state->m_counters[static_cast<std::size_t>(counter)].store(total, std::memory_order_relaxed);
}

void Metrics::set(Gauge gauge, std::int64_t value)
{
    State::GaugeValue &target = m_state->m_gauges[static_cast<std::size_t>(gauge)];
    target.m_value.store(value, std::memory_order_relaxed);
    target.m_isSet.store(true, std::memory_order_relaxed);
}

void Metrics::clear(Gauge gauge)
{
    m_state->m_gauges[static_cast<std::size_t>(gauge)].m_isSet.store(false,
                                                                     std::memory_order_relaxed);
}

void Metrics::countError(ErrorId id)
{
    const auto number = static_cast<std::size_t>(id);
    const bool isKnown = number < errorNumberEnd;
    const std::size_t counted = isKnown ? number : static_cast<std::size_t>(ErrorId::Internal);
    m_state->m_errors[counted].fetch_add(1, std::memory_order_relaxed);
}

RequestSeries &Metrics::series(const MemberId &member, const ProfileId &profile)
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_series[{
            admitName(m_state->m_members, m_state->m_limits.m_members, member.text()),
            admitName(m_state->m_profiles, m_state->m_limits.m_profiles, profile.text())}];
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_state->m_counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

std::int64_t Metrics::value(Gauge gauge) const
{
    return m_state->m_gauges[static_cast<std::size_t>(gauge)].m_value.load(
            std::memory_order_relaxed);
}

LatencySnapshot Metrics::total(Latency latency) const
{
    LatencySnapshot result = LatencyHistogram().snapshot();
    const std::lock_guard lock(m_state->m_mutex);
    for (const auto &[key, series] : m_state->m_series)
        result.merge(series.snapshot(latency));
    return result;
}

std::size_t Metrics::seriesCount() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_series.size();
}

std::string Metrics::expose() const
{
    detail::Exposition out;
    m_state->exposeProcess(out);
    m_state->exposeErrors(out);
    m_state->exposeSeries(out);
    return out.finish();
}

void Metrics::State::exposeProcess(detail::Exposition &out) const
{
    for (std::size_t place = 0; place < counterCount; ++place) {
        const auto counter = static_cast<Counter>(place);
        out.begin(counterName(counter), "counter", detail::counterHelp(counter));
        out.sample(counterName(counter), "", m_counters[place].load(std::memory_order_relaxed));
    }
    for (std::size_t place = 0; place < gaugeCount; ++place) {
        if (!m_gauges[place].m_isSet.load(std::memory_order_relaxed))
            continue;
        const auto gauge = static_cast<Gauge>(place);
        out.begin(gaugeName(gauge), "gauge", detail::gaugeHelp(gauge));
        out.sample(gaugeName(gauge), "", m_gauges[place].m_value.load(std::memory_order_relaxed));
    }
}

void Metrics::State::exposeErrors(detail::Exposition &out) const
{
    out.begin(errorsName, "counter", errorsHelp);
    for (std::size_t number = 0; number < errorNumberEnd; ++number) {
        const std::uint64_t count = m_errors[number].load(std::memory_order_relaxed);
        if (count == 0)
            continue;
        const auto id = static_cast<ErrorId>(number);
        out.sample(errorsName, fmt::format("error=\"{}\"", errorName(id)), count);
    }
}

void Metrics::State::exposeSeries(detail::Exposition &out) const
{
    const std::lock_guard lock(m_mutex);
    const auto labelsOf = [](const SeriesKey &key) {
        return fmt::format("member=\"{}\",profile=\"{}\"", key.first, key.second);
    };
    for (std::size_t place = 0; place < requestCounterCount; ++place) {
        const auto counter = static_cast<RequestCounter>(place);
        out.begin(requestCounterName(counter), "counter", detail::requestCounterHelp(counter));
        for (const auto &[key, series] : m_series)
            out.sample(requestCounterName(counter), labelsOf(key), series.value(counter));
    }
    for (std::size_t place = 0; place < latencyCount; ++place) {
        const auto latency = static_cast<Latency>(place);
        out.begin(latencyName(latency), "histogram", detail::latencyHelp(latency));
        for (const auto &[key, series] : m_series)
            out.histogram(latencyName(latency), labelsOf(key), series.snapshot(latency));
    }
}

} // namespace gypsumdale
