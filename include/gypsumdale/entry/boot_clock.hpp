#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// Returns the time of a monotonic clock that also advances while the VM is suspended
/// (CLOCK_BOOTTIME).
///
/// Leases are judged by it. On the steady clock, which stops during a suspension, a lease that
/// expired meanwhile would still look valid.
TimePoint bootNow();

} // namespace gypsumdale
