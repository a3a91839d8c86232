#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t

namespace gypsumdale {

/// Returns a 40-bit hash of an upstream's name, which represents it between the nodes of a data
/// centre: six bytes on the wire. Two of 1,100 names collide with a probability of about 5e-7; the
/// second name then gets no shared load. Complexity: linear in the length of the name.
std::int64_t upstreamKey(const UpstreamId &upstream);

} // namespace gypsumdale
