#include <ctl/log_history.hpp>

#include <fmt/format.h>

#include <algorithm> // find, min, nth_element, stable_sort
#include <charconv> // from_chars
#include <chrono> // sys_days, year_month_day
#include <cstddef> // ptrdiff_t
#include <cstdlib> // abs
#include <iterator> // begin, end
#include <optional> // optional
#include <set> // set
#include <utility> // move

namespace gypsumdale::ctl {

namespace {

/// Smallest clock offset that is corrected; longer than a store update takes between machines.
constexpr std::int64_t minClockCorrectionMillis = 2000;
/// Events of a machine are shown from this long before a request's first line to this long after
/// its last.
constexpr std::int64_t contextBeforeMillis = 10000;
constexpr std::int64_t contextAfterMillis = 1000;

/// Events of a machine that may explain the outcome of a request.
constexpr std::string_view machineEvents[] = {
        "started",
        "stopped",
        "draining",
        "dependency-lost",
        "dependency-regained",
        "peer-silent",
        "peer-heard-again",
        "settings-reloaded",
        "store-role",
        "config-malformed",
};

std::optional<int> numberAt(std::string_view text, std::size_t from, std::size_t length)
{
    int number = 0;
    if (from + length > text.size())
        return std::nullopt;
    const char *end = text.data() + from + length;
    const auto read = std::from_chars(text.data() + from, end, number);
    return read.ptr == end ? std::optional(number) : std::nullopt;
}

/// Parses a timestamp of a log line, such as "2026-03-29T07:03:13.498Z".
std::optional<std::int64_t> parseLogTime(std::string_view text)
{
    using namespace std::chrono;
    const auto year = numberAt(text, 0, 4);
    const auto month = numberAt(text, 5, 2);
    const auto day = numberAt(text, 8, 2);
    const auto hour = numberAt(text, 11, 2);
    const auto minute = numberAt(text, 14, 2);
    const auto second = numberAt(text, 17, 2);
    const auto milli = numberAt(text, 20, 3);
    if (!year || !month || !day || !hour || !minute || !second || !milli)
        return std::nullopt;
    const sys_days date = std::chrono::year(*year) / *month / *day;
    const auto time = date.time_since_epoch() + hours(*hour) + minutes(*minute) + seconds(*second);
    return duration_cast<milliseconds>(time).count() + *milli;
}

/// Returns a key for the change of the store that a line reports, the same on all machines; "" for
/// other lines.
std::string storeChangeKey(const LogLine &line)
{
    const bool isUpstream = line.m_event == "upstream-changed" || line.m_event == "upstream-left";
    if (isUpstream)
        return fmt::format("{}/{}/{}", line.m_event, textAt(line.m_fields, "upstream"),
                           textAt(line.m_fields, "state"));
    if (line.m_event == "config-adopted")
        return line.m_event + '/' + textAt(line.m_fields, "config_version");
    return {};
}

std::int64_t medianOf(std::vector<std::int64_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool fieldEquals(const LogLine &line, std::string_view key, std::string_view value)
{
    return textAt(line.m_fields, key) == value;
}

bool isMachineEvent(const LogLine &line)
{
    return std::find(std::begin(machineEvents), std::end(machineEvents), line.m_event)
           != std::end(machineEvents);
}

/// Lines of a request on one machine: the times of the first and the last one, and the upstreams
/// and configuration versions they name.
struct RequestTrace
{
    std::int64_t m_first = 0;
    std::int64_t m_last = 0;
    std::set<std::string> m_upstreams;
    std::set<std::string> m_versions;
};

std::map<std::string, RequestTrace> collectRequestTraces(const std::vector<LogLine> &lines,
                                                         std::string_view id)
{
    std::map<std::string, RequestTrace> traces;
    for (const LogLine &line : lines) {
        if (!fieldEquals(line, "request", id))
            continue;
        const auto [entry, isNew] = traces.try_emplace(line.m_node);
        RequestTrace &trace = entry->second;
        if (isNew)
            trace.m_first = line.m_at;
        trace.m_last = line.m_at;
        trace.m_upstreams.insert(textAt(line.m_fields, "upstream"));
        trace.m_versions.insert(textAt(line.m_fields, "config_version"));
    }
    return traces;
}

/// Returns whether a line of a request's machine shows its known state, or an event that may have
/// affected the request.
bool isRelatedTo(const LogLine &line, const RequestTrace &trace)
{
    if (line.m_at > trace.m_last + contextAfterMillis)
        return false;
    if (line.m_event == "config-adopted")
        return trace.m_versions.contains(textAt(line.m_fields, "config_version"));
    if (line.m_event == "upstream-changed" || line.m_event == "upstream-left")
        return trace.m_upstreams.contains(textAt(line.m_fields, "upstream"));
    return isMachineEvent(line) && line.m_at >= trace.m_first - contextBeforeMillis;
}

} // namespace

void LogHistory::add(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty())
            continue;
        const std::size_t brace = line.find('{');
        Json fields = brace == std::string_view::npos ? Json() : parseJson(line.substr(brace));
        const auto at = parseLogTime(textAt(fields, "time"));
        if (!fields.is_object() || !at) {
            ++m_unreadable;
            continue;
        }
        std::string node = textAt(fields, "node");
        std::string event = textAt(fields, "event");
        m_lines.push_back({*at, std::move(node), std::move(event), std::move(fields)});
    }
}

void LogHistory::arrange()
{
    estimateClockOffsets();
    for (LogLine &line : m_lines) {
        const auto found = m_clocksAhead.find(line.m_node);
        line.m_at -= found == m_clocksAhead.end() ? 0 : found->second;
    }
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.m_at < right.m_at;
    });
}

void LogHistory::estimateClockOffsets()
{
    std::map<std::string, std::map<std::string, std::int64_t>> changes;
    for (const LogLine &line : m_lines) {
        const std::string change = storeChangeKey(line);
        if (!change.empty())
            changes[change].try_emplace(line.m_node, line.m_at);
    }
    std::map<std::string, std::vector<std::int64_t>> offsets;
    for (const auto &[change, timesByNode] : changes) {
        std::vector<std::int64_t> times;
        for (const auto &[node, at] : timesByNode)
            times.push_back(at);
        // With two machines it is undecidable whose clock is off; the median would be the later
        // time.
        if (times.size() < 3)
            continue;
        const std::int64_t middle = medianOf(std::move(times));
        for (const auto &[node, at] : timesByNode)
            offsets[node].push_back(at - middle);
    }
    for (auto &[node, all] : offsets) {
        const std::int64_t ahead = medianOf(std::move(all));
        if (std::abs(ahead) >= minClockCorrectionMillis)
            m_clocksAhead[node] = ahead;
    }
}

std::vector<const LogLine *> LogHistory::about(LogSubject subject, std::string_view id) const
{
    if (subject == LogSubject::Request)
        return findRequestLines(id);
    std::vector<const LogLine *> found;
    for (const LogLine &line : m_lines) {
        // Lines of single requests don't describe the state of an upstream or a version.
        const bool isOfRequest = line.m_event == "request-placed" || line.m_event == "request-done"
                                 || line.m_event == "request-failed";
        const bool matches =
                (subject == LogSubject::Upstream && fieldEquals(line, "upstream", id))
                || (subject == LogSubject::Config && fieldEquals(line, "config_version", id))
                || (subject == LogSubject::Window && fieldEquals(line, "window", id));
        if (matches && !isOfRequest)
            found.push_back(&line);
    }
    return found;
}

std::vector<const LogLine *> LogHistory::findRequestLines(std::string_view id) const
{
    const std::map<std::string, RequestTrace> traces = collectRequestTraces(m_lines, id);
    std::vector<const LogLine *> found;
    for (const LogLine &line : m_lines) {
        const auto trace = traces.find(line.m_node);
        const bool matches =
                trace != traces.end()
                && (fieldEquals(line, "request", id) || isRelatedTo(line, trace->second));
        if (matches)
            found.push_back(&line);
    }
    return found;
}

} // namespace gypsumdale::ctl
