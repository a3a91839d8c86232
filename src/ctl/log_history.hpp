#pragma once

#include <gypsumdale/core/names.hpp>

#include <ctl/json_text.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

/// One parsed line of a log.
struct LogLine
{
    /// Time in milliseconds since the Unix epoch: the node's clock, corrected by its estimated
    /// offset.
    std::int64_t m_at = 0;
    std::string m_node;
    std::string m_event;
    Json m_fields;
};

/// Kind of object that the logs are searched for.
enum class LogSubject { Request, Upstream, Config, Window };

inline constexpr NameTable<LogSubject, 4> logSubjectNames = {{
        {LogSubject::Request, "request"},
        {LogSubject::Upstream, "upstream"},
        {LogSubject::Config, "config"},
        {LogSubject::Window, "window"},
}};

/// Logs of several machines, merged in time order.
///
/// Clocks of machines differ. Lines of different machines about the same change of the store were
/// written at nearly the same time, so the median of their time differences estimates the offset of
/// a machine's clock. An offset is corrected if it is larger than the time in which a store update
/// spreads.
class LogHistory
{
public:
    /// Adds one log with one JSON object per line. Text before the opening brace, such as the
    /// prefix of a log collector, is ignored. Complexity: linear.
    void add(std::string_view text);

    /// Corrects clock offsets and sorts the lines of all logs by time. To be called once, after the
    /// last add(). Complexity: O(n log n).
    void arrange();

    /// Returns the lines about a subject in time order. For a request, these include the known
    /// state of its upstreams and configuration on its machine, and the events of that machine
    /// around the time of the request. Complexity: linear.
    std::vector<const LogLine *> about(LogSubject subject, std::string_view id) const;

    /// Returns the corrected clock offsets in milliseconds by machine; positive is ahead.
    const std::map<std::string, std::int64_t> &clocksAhead() const { return m_clocksAhead; }
    /// Returns the number of lines that could not be parsed.
    std::size_t unreadable() const { return m_unreadable; }

private:
    void estimateClockOffsets();
    std::vector<const LogLine *> findRequestLines(std::string_view id) const;

    std::vector<LogLine> m_lines;
    std::map<std::string, std::int64_t> m_clocksAhead;
    std::size_t m_unreadable = 0;
};

} // namespace gypsumdale::ctl
