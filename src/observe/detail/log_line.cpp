#include <gypsumdale/core/names.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/observe/utc_text.hpp>

#include <observe/detail/log_line.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm> // all_of

namespace gypsumdale::detail {

namespace {

constexpr std::string_view truncatedMark = " truncated=true";
constexpr std::string_view jsonTruncatedMark = R"(,"truncated":true)";
constexpr std::string_view jsonEnd = "}";
constexpr std::string_view cutMark = "...";

bool isBareLetter(char letter)
{
    return letter > ' ' && letter <= '~' && letter != '"' && letter != '=' && letter != '\\';
}

std::string quoteJsonText(std::string_view text)
{
    constexpr bool escapeNonAscii = true;
    return nlohmann::json(text).dump(-1, ' ', escapeNonAscii,
                                     nlohmann::json::error_handler_t::replace);
}

std::string writeText(std::string_view text, LogFormat format)
{
    // Truncation comes before redaction: a credential is recognised by its prefix, so that its
    // first part is still found if the rest is truncated.
    std::string result = redactSecrets(text.substr(0, maxLogTextBytes));
    if (text.size() > maxLogTextBytes)
        result += cutMark;
    return format == LogFormat::Json ? quoteJsonText(result) : quoteLogText(result);
}

} // namespace

std::string quoteLogText(std::string_view text)
{
    if (!text.empty() && std::all_of(text.begin(), text.end(), isBareLetter))
        return std::string(text);
    return quoteJsonText(text);
}

std::string writeLogItem(const LogFieldValue &item, LogFormat format)
{
    const std::string value = std::visit(
            Overloaded{[format](std::string_view text) { return writeText(text, format); },
                       [](std::int64_t number) { return fmt::format("{}", number); },
                       [](double number) { return fmt::format("{:.6g}", number); },
                       [](bool flag) {
                           return std::string(flag ? "true" : "false");
                       }},
            item.m_value);
    if (format == LogFormat::Json)
        return fmt::format(R"(,"{}":{})", logFieldName(item.m_field), value);
    return fmt::format(" {}={}", logFieldName(item.m_field), value);
}

LogLine::LogLine(WallMillis at, LogLevel level, std::string_view event, LogFormat format)
    : m_format(format)
{
    const std::string_view shape = format == LogFormat::Json
                                           ? R"({{"time":"{}","level":"{}","event":"{}")"
                                           : "time={} level={} event={}";
    m_text = fmt::format(fmt::runtime(shape), toUtcText(at), enumName(logLevelNames, level), event);
}

void LogLine::add(const LogFieldValue &item)
{
    addRaw(writeLogItem(item, m_format));
}

void LogLine::addRaw(std::string_view pairs)
{
    const std::size_t reserved = jsonTruncatedMark.size() + jsonEnd.size() + 1;
    if (m_text.size() + pairs.size() + reserved > maxLogLineBytes) {
        m_truncated = true;
        return;
    }
    m_text += pairs;
}

std::string LogLine::finish()
{
    const bool isJson = m_format == LogFormat::Json;
    if (m_truncated)
        m_text += isJson ? jsonTruncatedMark : truncatedMark;
    if (isJson)
        m_text += jsonEnd;
    m_text += '\n';
    return std::move(m_text);
}

} // namespace gypsumdale::detail
