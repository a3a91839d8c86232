#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <cstdlib> // getenv, strtoull

namespace gypsumdale::testing {

/// Reads a number from the environment, for manual runs.
inline std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

inline std::uint64_t soakSeed()
{
    return fromEnvironment("GYPSUMDALE_SOAK_SEED", 1);
}

inline std::uint64_t soakSeconds()
{
    return fromEnvironment("GYPSUMDALE_SOAK_SECONDS", 10);
}

inline std::size_t soakNodes()
{
    return fromEnvironment("GYPSUMDALE_SOAK_NODES", 3);
}

} // namespace gypsumdale::testing
