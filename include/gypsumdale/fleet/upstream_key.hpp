#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t

namespace gypsumdale {

/// A 40-bit hash of an upstream's name, which stands for it between the nodes of a data centre: six
/// bytes on the wire. Two of 1,100 names collide with a probability of about 5e-7; the table then
/// leaves the second name without shared load and says so. Linear in the name.
std::int64_t upstreamKey(const UpstreamId &upstream);

} // namespace gypsumdale
