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

/// Collects what is wrong with one document while it is read.
class Reader
{
public:
    explicit Reader(std::string document)
        : m_document(std::move(document))
    {}

    /// Notes a finding at the node's place. A node that the document doesn't have gives no place.
    void add(ErrorId id, const YAML::Node &node, std::string text, std::string hint = {});

    void addAt(ErrorId id, const YAML::Mark &mark, std::string text, std::string hint = {});

    bool isClean() const { return m_findings.empty(); }

    /// Hands the findings over, in the order of lines.
    Findings take();

private:
    std::string m_document;
    Findings m_findings;
};

/// Parses a document within the bounds of size and depth; nothing if that left findings. Aliases
/// are refused: a few lines of them can expand to more nodes than memory holds, and settings have
/// no use for them.
std::optional<YAML::Node> parseDocument(std::string_view text, Reader &reader);

/// Follows keys down from a node as far as they go, for the place of a finding.
YAML::Node nodeAt(const YAML::Node &root, std::initializer_list<const char *> path);

/// Returns "did you mean NAME?" for the name nearest to a misspelt one; empty if none is near.
std::string nearestHint(std::string_view wrong, const std::vector<std::string> &names);

} // namespace gypsumdale::detail
