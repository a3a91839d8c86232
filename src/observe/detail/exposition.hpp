#pragma once

#include <gypsumdale/observe/latency_histogram.hpp>

#include <cstdint> // int64_t, uint64_t
#include <span> // span
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Escapes a label's value: escapes quotes, backslashes and newlines, and replaces characters other
/// than printable ASCII by '_', so that an id can't break the format.
std::string escapeLabel(std::string_view value);

/// Writer for metrics in the text exposition format, version 0.0.4.
class Exposition
{
public:
    /// Starts a metric with its HELP line, unless the help text is empty, and its TYPE line.
    void begin(std::string_view name, std::string_view type, std::string_view help);

    /// Writes one sample. The labels are `name="value"` pairs joined by commas, or empty.
    void sample(std::string_view name, std::string_view labels, std::uint64_t value);
    void sample(std::string_view name, std::string_view labels, std::int64_t value);

    /// Writes the cumulative buckets, the sum in seconds (truncated to whole milliseconds) and the
    /// count of a histogram. Of the buckets, only those with the given bounds in milliseconds are
    /// written. Leading empty buckets are omitted. Trailing ones are kept: without them, the sum of
    /// a bucket over several VMs would miss the VMs that have no durations in that range.
    void histogram(std::string_view name, std::string_view labels, const LatencySnapshot &counts,
                   std::span<const int> shownMillis);

    std::string finish() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace gypsumdale::detail
