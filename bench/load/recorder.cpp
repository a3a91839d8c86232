#include "bench/load/recorder.hpp"

#include <fmt/format.h>

#include <algorithm> // max, nth_element
#include <cmath> // ceil
#include <utility> // move

namespace gypsumdale::load {

namespace {

/// Returns the smallest value such that at least the given share of all values is not above it.
double quantileMillis(std::vector<Duration> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(share * double(values.size())));
    const auto place =
            values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1)) - 1;
    std::nth_element(values.begin(), place, values.end());
    return toMillis(*place);
}

nlohmann::json quantiles(const std::vector<Duration> &values)
{
    return {{"p50", quantileMillis(values, 0.5)},
            {"p95", quantileMillis(values, 0.95)},
            {"p99", quantileMillis(values, 0.99)}};
}

std::string columns(const nlohmann::json &entry)
{
    return fmt::format("{:>9.1f}{:>9.1f}{:>9.1f}", entry["p50"].get<double>(),
                       entry["p95"].get<double>(), entry["p99"].get<double>());
}

void append(std::vector<Duration> &values, const std::vector<Duration> &more)
{
    values.insert(values.end(), more.begin(), more.end());
}

} // namespace

void Recorder::record(const Outcome &outcome)
{
    Series &series = m_series[{outcome.m_member, outcome.m_class}];
    if (!outcome.m_error.empty()) {
        ++series.m_errors[outcome.m_error];
        return;
    }
    ++series.m_complete;
    series.m_tokens += outcome.m_tokens;
    if (outcome.m_tokens > 0)
        series.m_firstToken.push_back(outcome.m_firstToken);
    series.m_total.push_back(outcome.m_total);
    append(series.m_betweenTokens, outcome.m_betweenTokens);
}

nlohmann::json Recorder::describe() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, series] : m_series) {
        list.push_back({{"member", name.first},
                        {"class", name.second},
                        {"whole", series.m_complete},
                        {"tokens", series.m_tokens},
                        {"errors", series.m_errors},
                        {"firstTokenMillis", quantiles(series.m_firstToken)},
                        {"betweenTokensMillis", quantiles(series.m_betweenTokens)},
                        {"totalMillis", quantiles(series.m_total)}});
    }
    return {{"series", std::move(list)}};
}

std::string Recorder::table() const
{
    std::string text = fmt::format("{:<20}{:<12}{:>7}{:>7}{:>27}{:>27}{:>27}\n", "member", "class",
                                   "whole", "errors", "first token p50/95/99 ms",
                                   "between tokens p50/95/99", "total p50/95/99");
    std::string errors;
    const nlohmann::json described = describe();
    for (const auto &entry : described["series"]) {
        const auto member = entry["member"].get<std::string>();
        const auto name = entry["class"].get<std::string>();
        std::size_t failed = 0;
        for (const auto &[error, count] : entry["errors"].items()) {
            failed += count.get<std::size_t>();
            errors += fmt::format("error {:<24}{:<20}{:<12}{:>7}\n", error, member, name,
                                  count.get<std::size_t>());
        }
        text += fmt::format("{:<20}{:<12}{:>7}{:>7}{}{}{}\n", member, name,
                            entry["whole"].get<std::size_t>(), failed,
                            columns(entry["firstTokenMillis"]),
                            columns(entry["betweenTokensMillis"]), columns(entry["totalMillis"]));
    }
    return text + errors;
}

} // namespace gypsumdale::load
