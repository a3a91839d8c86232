#pragma once

#include <gypsumdale/core/finding.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/settings/checker.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

/// What a YAML document describes. Node settings are a process's own file, which can be checked
/// but not applied.
enum class DocumentKind { Profile, Fleet, Member, Node };

inline constexpr NameTable<DocumentKind, 4> documentKindNames = {{
        {DocumentKind::Profile, "profile"},
        {DocumentKind::Fleet, "fleet"},
        {DocumentKind::Member, "member"},
        {DocumentKind::Node, "node"},
}};

/// What flags say about a document; they go before the document's own `kind:` and `name:`, and
/// these before its path, as in "profile/phone.yaml".
struct DocumentFlags
{
    std::string m_kind;
    std::string m_name;
    std::optional<std::int64_t> m_version;
};

/// A YAML document as an operator edits it: the lines `kind:`, `name:` and `version:` at its top
/// level say what it is about and which version was edited; the other lines are the body that
/// nodes check and keep.
struct Document
{
    std::string m_path;
    DocumentKind m_kind = DocumentKind::Profile;
    std::string m_name;
    /// The version that was edited; 0 to create. Unset: whatever is current.
    std::optional<std::int64_t> m_version;
    std::string m_body;
    /// For each line of the body, its line in the file, from 1.
    std::vector<int> m_lines;

    /// Returns the line in the file of a line of the body, from 1. Constant.
    int fileLine(int bodyLine) const;
    /// Returns "profile/phone".
    std::string title() const;
};

/// Reads a document; the findings are about its `kind`, `name` and `version` only. Linear.
Checked<Document> readDocument(std::string_view text, const std::string &path,
                               const DocumentFlags &given);

/// Checks the body as the nodes do, and returns what is wrong with it at the lines of the file.
Findings checkDocument(const Document &document);

/// Writes a document as readDocument() reads it, for `get`.
std::string writeDocument(std::string_view kind, std::string_view name, std::int64_t version,
                          std::string_view body);

} // namespace gypsumdale::ctl
