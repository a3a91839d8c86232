#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// Severity of a log line. The settings define the lowest level that is written.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr NameTable<LogLevel, 4> logLevelNames = {{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

/// Output format of log lines.
enum class LogFormat {
    /// key=value pairs.
    Logfmt,
    /// One JSON object per line.
    Json,
};

} // namespace gypsumdale
