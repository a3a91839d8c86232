#pragma once

#include <array> // array
#include <cstddef> // size_t
#include <optional> // optional
#include <string_view> // string_view
#include <utility> // pair

namespace gypsumdale {

/// Table that maps each value of an enumeration to its name on the wire, in settings and in logs.
template <typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of a value, or "unknown" if the table does not contain the value. Complexity:
/// linear in the size of the table.
template <typename Enum, std::size_t Size>
constexpr std::string_view enumName(const NameTable<Enum, Size> &table, Enum value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value)
            return name;
    }
    return "unknown";
}

/// Returns the value with the given name, or nothing if the table does not contain the name.
/// Complexity: linear in the size of the table.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumFromName(const NameTable<Enum, Size> &table,
                                           std::string_view name)
{
    for (const auto &[entry, entryName] : table) {
        if (entryName == name)
            return entry;
    }
    return std::nullopt;
}

} // namespace gypsumdale
