#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/observe/log.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Builder of a log line that is never longer than maxLogLineBytes. A field that does not fit is
/// omitted and the line ends in truncated=true.
class LogLine
{
public:
    LogLine(WallMillis at, LogLevel level, std::string_view event,
            LogFormat format = LogFormat::Logfmt);

    void add(const LogFieldValue &item);

    /// Adds preformatted fields, which all lines of a process share.
    void addRaw(std::string_view pairs);

    /// Returns the line including its newline.
    std::string finish();

private:
    std::string m_text;
    LogFormat m_format;
    bool m_truncated = false;
};

/// Formats a text as a logfmt value: unquoted where that is unambiguous, otherwise in double quotes
/// with quotes, backslashes, control characters and all characters other than ASCII escaped, so
/// that a value can't start a new line, imitate another field or control a terminal.
std::string quoteLogText(std::string_view text);

/// Formats a field as " key=value", or as ",\"key\":value" for JSON.
std::string writeLogItem(const LogFieldValue &item, LogFormat format = LogFormat::Logfmt);

} // namespace gypsumdale::detail
