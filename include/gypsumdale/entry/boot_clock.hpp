#pragma once

#include <gypsumdale/core/clock.hpp>

namespace gypsumdale {

/// Returns a steady time that counts while the VM is suspended, which the steady clock does not: a
/// lease judged by that one would seem to hold after a suspension in which it ran out.
TimePoint bootNow();

} // namespace gypsumdale
