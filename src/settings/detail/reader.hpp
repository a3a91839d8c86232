#pragma once

#include <gypsumdale/core/finding.hpp>

#include <yaml-cpp/yaml.h>

#include <initializer_list> // initializer_list
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::detail {

/// Collects the findings of one document while it is read.
class Reader
{
public:
    explicit Reader(std::string document)
        : m_document(std::move(document))
    {}

    /// Adds a finding at the node's position. A node that does not exist in the document gives no
    /// position.
    void add(ErrorId id, const YAML::Node &node, std::string text, std::string hint = {});

    void addAt(ErrorId id, const YAML::Mark &mark, std::string text, std::string hint = {});

    bool isClean() const { return m_findings.empty(); }

    /// Returns the findings ordered by line and removes them from the reader.
    Findings take();

private:
    std::string m_document;
    Findings m_findings;
};

/// Parses a document within the limits on size and depth. Returns nothing if there were findings.
/// Aliases are refused: a few lines of them can expand to more nodes than fit into memory, and
/// settings have no use for them.
std::optional<YAML::Node> parseDocument(std::string_view text, Reader &reader);

/// Follows a path of keys from a node as far as it exists, for the position of a finding.
YAML::Node nodeAt(const YAML::Node &root, std::initializer_list<const char *> path);

/// Returns "did you mean NAME?" for the name closest to a misspelt one; empty if none is close.
std::string nearestHint(std::string_view wrong, const std::vector<std::string> &names);

} // namespace gypsumdale::detail
