#pragma once

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Builds the target of a request from a path and parameters of any bytes. Whatever is not an
/// unreserved character (RFC 3986, section 2.3) is percent-encoded, so that a name never ends its
/// segment or value, and the server decodes what was put in. Complexity of each call: linear in the
/// length of the text.
class HttpTargetBuilder
{
public:
    /// Begins with a path that needs no encoding, such as "/v1/objects".
    explicit HttpTargetBuilder(std::string_view path)
        : m_target(path)
    {}

    /// Adds one segment to the path. A slash in the text is encoded.
    HttpTargetBuilder &segment(std::string_view text);

    /// Adds segments to the path that slashes in the text separate.
    HttpTargetBuilder &segments(std::string_view text);

    /// Adds a parameter to the query. No segment may follow.
    HttpTargetBuilder &parameter(std::string_view name, std::string_view value);

    std::string build() const { return m_target; }

private:
    std::string m_target;
    bool m_hasQuery = false;
};

/// Returns a text with everything but unreserved characters percent-encoded.
std::string percentEncoded(std::string_view text);

/// Decodes a part of a path; nothing if an escape is malformed. A plus sign stands for itself.
std::optional<std::string> percentDecoded(std::string_view text);

} // namespace gypsumdale
