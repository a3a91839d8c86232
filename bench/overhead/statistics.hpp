#pragma once

#include <algorithm> // sort
#include <cstddef> // size_t
#include <vector> // vector

namespace gypsumdale::overhead {

/// Returns the quantile of the values at the given share, or zero if there are no values.
inline double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(place, values.size() - 1)];
}

} // namespace gypsumdale::overhead
