#pragma once

#include <gypsumdale/core/error.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Position in a document. Lines and columns count from 1; 0 means unknown.
struct Place
{
    std::string m_document;
    int m_line = 0;
    int m_column = 0;
};

/// Problem found in a document that a person wrote. The hint is empty if there is none.
struct Finding
{
    ErrorId m_id = ErrorId::Internal;
    Place m_place;
    std::string m_text;
    std::string m_hint;
};

/// All problems found in a document, ordered by line.
using Findings = std::vector<Finding>;

/// Formats a finding as one line: "profiles.yaml:3:5: error 103 (unknown-key): ...". Complexity:
/// linear in the length of the texts.
std::string toLine(const Finding &finding);

} // namespace gypsumdale
