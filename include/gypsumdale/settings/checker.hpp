#pragma once

#include <gypsumdale/core/finding.hpp>

#include <cstddef> // size_t
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// The value that a document describes, or all findings about the document.
template <typename Value>
using Checked = std::variant<Value, Findings>;

/// Maximum size of a document in bytes. Larger documents are not read.
inline constexpr std::size_t maxDocumentBytes = std::size_t{256} * 1024;

/// Maximum nesting depth of lists and maps in a document.
inline constexpr int deepestNesting = 16;

/// Entry of the reference page for one key: the full path of the key ("latency.deadline"; "[]"
/// marks the element of a list), the kind of its value, and its unit, default and range as text.
struct KeyReference
{
    std::string m_path;
    std::string m_type;
    std::string m_default;
    std::string m_range;
    std::string m_text;
};

using KeyReferences = std::vector<KeyReference>;

/// Formats keys as the Markdown table in docs/CONFIGURATION.md. Complexity: linear in the number of
/// keys.
std::string toMarkdown(const KeyReferences &keys);

/// Returns whether a text is a valid name of an object or an upstream: 1 to 63 lower-case letters,
/// digits, '-' and '.', with a letter or digit at both ends. Complexity: linear in the length of
/// the text.
bool isValidName(std::string_view text);

} // namespace gypsumdale
