#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstddef> // size_t
#include <optional> // optional

namespace gypsumdale {

/// What an upstream says in one answer about the requests that it wants.
struct BackpressureSignal
{
    /// Requests per second that it takes from all VMs together; unset if it names no limit.
    std::optional<double> m_rateLimit;
    /// It leaves, whatever its entry says.
    bool m_isLeaving = false;
    /// It wants nothing from this VM for so long.
    std::optional<Duration> m_rest;
    /// Values that can't be meant. They say nothing, neither that there is a limit nor that there
    /// is none.
    std::size_t m_invalidValues = 0;
};

} // namespace gypsumdale
