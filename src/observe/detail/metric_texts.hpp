#pragma once

#include <gypsumdale/observe/metric_names.hpp>

#include <string_view> // string_view

namespace gypsumdale::detail {

/// Return the text of the metric's HELP line.
std::string_view latencyHelp(Latency latency);
std::string_view requestCounterHelp(RequestCounter counter);
std::string_view counterHelp(Counter counter);
std::string_view gaugeHelp(Gauge gauge);

} // namespace gypsumdale::detail
