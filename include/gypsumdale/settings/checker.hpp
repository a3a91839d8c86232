#pragma once

#include <gypsumdale/core/finding.hpp>

#include <cstddef> // size_t
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// The value that a document describes, or everything that is wrong with it.
template <typename Value>
using Checked = std::variant<Value, Findings>;

/// The largest document that is read at all, in bytes.
inline constexpr std::size_t largestDocument = std::size_t{256} * 1024;

/// The deepest nesting of lists and maps in a document.
inline constexpr int deepestNesting = 16;

/// What the reference page says about one key: the full path of the key ("latency.deadline"; "[]"
/// marks a list's element), what kind of value it takes, its unit, default and range as text.
struct KeyReference
{
    std::string m_path;
    std::string m_type;
    std::string m_default;
    std::string m_range;
    std::string m_text;
};

using KeyReferences = std::vector<KeyReference>;

/// Writes keys as the table that docs/CONFIGURATION.md carries. Linear.
std::string toMarkdown(const KeyReferences &keys);

/// Tells whether a text can name an object or an upstream: 1 to 63 lower-case letters, digits, '-'
/// and '.', with a letter or digit at both ends. Linear.
bool isValidName(std::string_view text);

} // namespace gypsumdale
