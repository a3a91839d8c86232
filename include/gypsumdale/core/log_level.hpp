#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// How much a log line matters. Settings name the least level that is written.
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

/// How a line is written.
enum class LogFormat {
    /// key=value pairs.
    Logfmt,
    /// One JSON object a line.
    Json,
};

} // namespace gypsumdale
