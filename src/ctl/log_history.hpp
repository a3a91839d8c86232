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

/// One line that a process logged.
struct LogLine
{
    /// Milliseconds since the start of 1970, by the node's clock less what it was found to be off.
    std::int64_t m_at = 0;
    std::string m_node;
    std::string m_event;
    Json m_fields;
};

/// What a question to the logs is about.
enum class LogSubject { Request, Upstream, Config, Window };

inline constexpr NameTable<LogSubject, 4> logSubjectNames = {{
        {LogSubject::Request, "request"},
        {LogSubject::Upstream, "upstream"},
        {LogSubject::Config, "config"},
        {LogSubject::Window, "window"},
}};

/// The logs of several machines in one order of time.
///
/// Clocks of machines differ. Two lines of different machines that speak of one change of the store
/// were written within moments of each other, so that the median of their distances shows how far a
/// machine's clock is off; it is taken off where it is more than such news takes to spread.
class LogHistory
{
public:
    /// Adds one log, a line of JSON for each event; anything before the brace, as collectors put
    /// it there, is passed over. Linear.
    void add(std::string_view text);

    /// Puts the lines of all logs in order. To be called once all are added. O(n log n).
    void arrange();

    /// Returns what concerns a subject: its own lines and, for a request, what its machine believed
    /// of the upstreams and the configuration, and what else happened to the machine around it. In
    /// order of time. Linear.
    std::vector<const LogLine *> about(LogSubject subject, std::string_view id) const;

    /// How far ahead each machine's clock was, in milliseconds, where that was taken off.
    const std::map<std::string, std::int64_t> &clocksAhead() const { return m_clocksAhead; }
    /// Lines that could not be read.
    std::size_t unreadable() const { return m_unreadable; }

private:
    void findClocks();
    std::vector<const LogLine *> aboutRequest(std::string_view id) const;

    std::vector<LogLine> m_lines;
    std::map<std::string, std::int64_t> m_clocksAhead;
    std::size_t m_unreadable = 0;
};

} // namespace gypsumdale::ctl
