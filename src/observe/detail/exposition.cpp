#include <observe/detail/exposition.hpp>

#include <fmt/format.h>

#include <algorithm> // any_of
#include <iterator> // back_inserter

namespace gypsumdale::detail {

namespace {

std::string braced(std::string_view labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

bool isShown(Duration bound, std::span<const int> shownMillis)
{
    return std::ranges::any_of(shownMillis, [bound](int millis) {
        return bound == std::chrono::milliseconds(millis);
    });
}

} // namespace

std::string escapeLabel(std::string_view value)
{
    std::string result;
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            result += '\\';
        if (letter == '\n')
            result += "\\n";
        else
            result += letter >= ' ' && letter <= '~' ? letter : '_';
    }
    return result;
}

void Exposition::begin(std::string_view name, std::string_view type, std::string_view help)
{
    const auto out = std::back_inserter(m_text);
    if (!help.empty())
        fmt::format_to(out, "# HELP {} {}\n", name, help);
    fmt::format_to(out, "# TYPE {} {}\n", name, type);
}

void Exposition::sample(std::string_view name, std::string_view labels, std::uint64_t value)
{
    fmt::format_to(std::back_inserter(m_text), "{}{} {}\n", name, braced(labels), value);
}

void Exposition::sample(std::string_view name, std::string_view labels, std::int64_t value)
{
    fmt::format_to(std::back_inserter(m_text), "{}{} {}\n", name, braced(labels), value);
}

void Exposition::histogram(std::string_view name, std::string_view labels,
                           const LatencySnapshot &counts, std::span<const int> shownMillis)
{
    const auto out = std::back_inserter(m_text);
    const std::string_view comma = labels.empty() ? "" : ",";
    std::uint64_t cumulated = 0;
    for (std::size_t bucket = 0; bucket < counts.m_upper.size(); ++bucket) {
        cumulated += counts.m_counts[bucket];
        if (cumulated == 0 || !isShown(counts.m_upper[bucket], shownMillis))
            continue;
        fmt::format_to(out, "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, comma,
                       toSeconds(counts.m_upper[bucket]), cumulated);
    }
    const std::uint64_t count = counts.count();
    fmt::format_to(out, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, count);
    fmt::format_to(out, "{}_sum{} {}\n", name, braced(labels),
                   toSeconds(std::chrono::floor<std::chrono::milliseconds>(counts.m_sum)));
    sample(fmt::format("{}_count", name), labels, count);
}

} // namespace gypsumdale::detail
