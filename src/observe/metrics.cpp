#include <gypsumdale/observe/metrics.hpp>

#include <observe/detail/exposition.hpp>
#include <observe/detail/metric_texts.hpp>
#include <observe/detail/page_bounds.hpp>

#include <fmt/format.h>

#include <map> // map
#include <mutex> // lock_guard, mutex
#include <span> // span
#include <utility> // pair

namespace gypsumdale {

namespace {

constexpr std::size_t errorNumberEnd = 1000;
constexpr std::string_view errorsName = "gypsumdale_errors_total";
constexpr std::string_view errorsHelp = "Answers that ended in an error, by the error's name.";

constexpr std::string_view metricPrefix = "gypsumdale_";

/// Inserts an infix into a metric's name, after the prefix that all names share.
std::string withInfix(std::string_view name, std::string_view infix)
{
    return fmt::format("{}{}{}", metricPrefix, infix, name.substr(metricPrefix.size()));
}

} // namespace

void RequestMetrics::record(Latency latency, Duration duration)
{
    m_latencies[static_cast<std::size_t>(latency)].record(duration);
}

void RequestMetrics::add(RequestCounter counter, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t RequestMetrics::value(RequestCounter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

LatencySnapshot RequestMetrics::snapshot(Latency latency) const
{
    return m_latencies[static_cast<std::size_t>(latency)].snapshot();
}

void RequestSeries::record(Latency latency, Duration duration)
{
    m_member.record(latency, duration);
    m_profile.record(latency, duration);
}

void RequestSeries::add(RequestCounter counter, std::uint64_t amount)
{
    m_member.add(counter, amount);
    m_profile.add(counter, amount);
}

struct Metrics::State
{
    struct GaugeValue
    {
        std::atomic<std::int64_t> m_value = 0;
        std::atomic<bool> m_isSet = false;
    };
    /// Measures by escaped label. The nodes of a std::map do not move, so that references to the
    /// values stay valid.
    using MeasuresMap = std::map<std::string, RequestMetrics>;
    /// Escaped labels of member and profile.
    using SeriesKey = std::pair<std::string, std::string>;

    /// Measures by one of the two labels. Counts by class use the plain metric names. Counts by
    /// member use names of their own, because a sum over both would count each request twice.
    struct Dimension
    {
        /// Returns the name as a label if it is known or the limit permits one more, and "other"
        /// otherwise.
        std::string admit(const std::string &text) const;
        std::string labelsOf(const std::string &label) const
        {
            return fmt::format("{}=\"{}\"", m_label, label);
        }
        /// Returns the HELP text, or nothing for the metrics by member, which do not repeat it.
        std::string_view helpOf(std::string_view help) const { return m_isOfMembers ? "" : help; }

        bool m_isOfMembers;
        std::string_view m_label;
        /// Inserted after the common prefix of the metric names.
        std::string_view m_infix;
        std::size_t m_limit;
        MeasuresMap m_measures;
    };

    explicit State(MetricsLimits limits)
        : m_members{true, "member", "member_", limits.m_members, {}}
        , m_profiles{false, "profile", "", limits.m_profiles, {}}
    {}

    static void exposeMeasures(const Dimension &dimension, detail::Exposition &out);
    static void exposeCounter(const Dimension &dimension, RequestCounter counter,
                              detail::Exposition &out);
    static void exposeLatency(const Dimension &dimension, Latency latency, detail::Exposition &out);
    void exposeProcess(detail::Exposition &out) const;
    void exposeErrors(detail::Exposition &out) const;

    std::array<std::atomic<std::uint64_t>, counterCount> m_counters{};
    std::array<GaugeValue, gaugeCount> m_gauges;
    std::array<std::atomic<std::uint64_t>, errorNumberEnd> m_errors{};
    mutable std::mutex m_mutex;
    Dimension m_members;
    Dimension m_profiles;
    std::map<SeriesKey, RequestSeries> m_series;
};

std::string Metrics::State::Dimension::admit(const std::string &text) const
{
    std::string label = detail::escapeLabel(text);
    if (m_measures.contains(label) || m_measures.size() < m_limit)
        return label;
    return std::string(overflowSeriesName);
}

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
    State::Dimension &members = m_state->m_members;
    State::Dimension &profiles = m_state->m_profiles;
    const State::SeriesKey key(members.admit(member.text()), profiles.admit(profile.text()));
    const auto found = m_state->m_series.find(key);
    if (found != m_state->m_series.end())
        return found->second;
    const auto added = m_state->m_series.try_emplace(key, members.m_measures[key.first],
                                                     profiles.m_measures[key.second]);
    return added.first->second;
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
    for (const auto &[label, measures] : m_state->m_profiles.m_measures)
        result.merge(measures.snapshot(latency));
    return result;
}

std::size_t Metrics::measuresCount() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_members.m_measures.size() + m_state->m_profiles.m_measures.size();
}

std::string Metrics::expose() const
{
    detail::Exposition out;
    m_state->exposeProcess(out);
    m_state->exposeErrors(out);
    const std::lock_guard lock(m_state->m_mutex);
    State::exposeMeasures(m_state->m_profiles, out);
    State::exposeMeasures(m_state->m_members, out);
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

void Metrics::State::exposeMeasures(const Dimension &dimension, detail::Exposition &out)
{
    for (std::size_t place = 0; place < requestCounterCount; ++place)
        exposeCounter(dimension, static_cast<RequestCounter>(place), out);
    for (std::size_t place = 0; place < latencyCount; ++place)
        exposeLatency(dimension, static_cast<Latency>(place), out);
}

void Metrics::State::exposeCounter(const Dimension &dimension, RequestCounter counter,
                                   detail::Exposition &out)
{
    const std::string name = withInfix(requestCounterName(counter), dimension.m_infix);
    out.begin(name, "counter", dimension.helpOf(detail::requestCounterHelp(counter)));
    for (const auto &[label, measures] : dimension.m_measures) {
        const std::uint64_t value = measures.value(counter);
        if (value > 0)
            out.sample(name, dimension.labelsOf(label), value);
    }
}

void Metrics::State::exposeLatency(const Dimension &dimension, Latency latency,
                                   detail::Exposition &out)
{
    const std::string name = withInfix(latencyName(latency), dimension.m_infix);
    out.begin(name, "histogram", dimension.helpOf(detail::latencyHelp(latency)));
    const detail::PageBounds bounds = detail::pageBounds(latency);
    const std::span<const int> shown =
            dimension.m_isOfMembers ? bounds.m_ofMember : bounds.m_ofProfile;
    for (const auto &[label, measures] : dimension.m_measures) {
        const LatencySnapshot snapshot = measures.snapshot(latency);
        if (snapshot.count() > 0)
            out.histogram(name, dimension.labelsOf(label), snapshot, shown);
    }
}

} // namespace gypsumdale
