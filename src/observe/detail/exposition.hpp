#pragma once

#include <gypsumdale/observe/latency_histogram.hpp>

#include <cstdint> // int64_t, uint64_t
#include <span> // span
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Writes a label's value: quotes, backslashes and newlines escaped, and what is not printable
/// ASCII replaced by '_', so that an id can't break the format.
std::string escapeLabel(std::string_view value);

/// Writes metrics in the text exposition format, version 0.0.4.
class Exposition
{
public:
    /// Begins a metric with its HELP, unless that is empty, and TYPE lines.
    void begin(std::string_view name, std::string_view type, std::string_view help);

    /// Writes one sample. The labels are `name="value"` pairs joined by commas, or empty.
    void sample(std::string_view name, std::string_view labels, std::uint64_t value);
    void sample(std::string_view name, std::string_view labels, std::int64_t value);

    /// Writes the cumulated buckets, the sum in seconds, of whole milliseconds, and the count of a
    /// histogram. Of the buckets those with a bound given in milliseconds, but for empty ones at
    /// the beginning. Those at the end stay: without them the sum of a bucket over several VMs
    /// would lack who had nothing that late.
    void histogram(std::string_view name, std::string_view labels, const LatencySnapshot &counts,
                   std::span<const int> shownMillis);

    std::string finish() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace gypsumdale::detail
