#pragma once

#include <gypsumdale/core/error.hpp>

#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Where in a document something was found. Lines and columns count from 1; 0 means unknown.
struct Place
{
    std::string m_document;
    int m_line = 0;
    int m_column = 0;
};

/// One thing wrong with a document that a person wrote. The hint is empty where there is none.
struct Finding
{
    ErrorId m_id = ErrorId::Internal;
    Place m_place;
    std::string m_text;
    std::string m_hint;
};

/// All that is wrong with a document, in the order of its lines.
using Findings = std::vector<Finding>;

/// Writes a finding as one line: "profiles.yaml:3:5: error 103 (unknown-key): ...". Linear in the
/// texts.
std::string toLine(const Finding &finding);

} // namespace gypsumdale
