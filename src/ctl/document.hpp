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

/// Kind of object that a YAML document describes. Node settings are the local file of one process;
/// they can be checked but not applied.
enum class DocumentKind { Profile, Fleet, Member, Node };

inline constexpr NameTable<DocumentKind, 4> documentKindNames = {{
        {DocumentKind::Profile, "profile"},
        {DocumentKind::Fleet, "fleet"},
        {DocumentKind::Member, "member"},
        {DocumentKind::Node, "node"},
}};

/// Properties of a document given as flags. Flags take precedence over the document's `kind:` and
/// `name:` lines, and these over its path, such as "profile/phone.yaml".
struct DocumentFlags
{
    std::string m_kind;
    std::string m_name;
    std::optional<std::int64_t> m_version;
};

/// A YAML document as an operator edits it. Its top-level lines `kind:`, `name:` and `version:`
/// identify the object and the edited version; all other lines are the body that nodes check and
/// store.
struct Document
{
    std::string m_path;
    DocumentKind m_kind = DocumentKind::Profile;
    std::string m_name;
    /// Version that was edited; 0 creates the object. Unset: the current version.
    std::optional<std::int64_t> m_version;
    std::string m_body;
    /// Line number in the file, from 1, of each line of the body.
    std::vector<int> m_lines;

    /// Converts a line number of the body to one of the file, both from 1. Complexity: constant.
    int fileLine(int bodyLine) const;
    /// Returns kind and name, such as "profile/phone".
    std::string title() const;
};

/// Parses a document; the findings cover its `kind`, `name` and `version` only. Complexity: linear.
Checked<Document> readDocument(std::string_view text, const std::string &path,
                               const DocumentFlags &given);

/// Checks the body with the checks of the nodes; the findings have line numbers of the file.
Findings checkDocument(const Document &document);

/// Formats a document for `get`, in the format that readDocument() reads.
std::string writeDocument(std::string_view kind, std::string_view name, std::int64_t version,
                          std::string_view body);

} // namespace gypsumdale::ctl
