#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/log.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Puts a log line together, never longer than maxLogLineBytes: a field that does not fit is left
/// out and the line ends in truncated=true.
class LogLine
{
public:
    LogLine(WallMillis at, LogLevel level, std::string_view event,
            LogFormat format = LogFormat::Logfmt);

    void add(const LogItem &item);

    /// Adds the pairs that all lines of a process share.
    void addRaw(std::string_view pairs);

    /// Returns the line with its newline.
    std::string finish();

private:
    std::string m_text;
    LogFormat m_format;
    bool m_truncated = false;
};

/// Writes a text as a logfmt value: bare where that is unambiguous, otherwise in double quotes with
/// quotes, backslashes, control characters and all that is not ASCII escaped, so that a value can
/// neither begin a new line, pose as another field nor steer a terminal.
std::string quoteLogText(std::string_view text);

/// Writes " key=value", or ",\"key\":value" for JSON.
std::string writeLogItem(const LogItem &item, LogFormat format = LogFormat::Logfmt);

} // namespace gypsumdale::detail
