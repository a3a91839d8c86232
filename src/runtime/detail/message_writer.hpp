#pragma once

#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Length of a message's body, which defines how its end is marked.
struct BodyLength
{
    /// Empty for a chunked body.
    std::optional<std::size_t> m_bytes;
};

/// Returns the header of an answer. Framing fields are generated; those of the caller are ignored.
/// Complexity: linear.
std::string answerHead(int status, const HttpHeaders &headers, BodyLength length, bool keepAlive);

/// Returns the header of a request. Framing fields are generated; those of the caller are ignored.
/// Adds Host if the caller gave none. Complexity: linear.
std::string requestHead(std::string_view method, std::string_view target, std::string_view host,
                        const HttpHeaders &headers, std::size_t bodyBytes);

/// Returns whether answers with this status never have a body.
bool isBodyless(int status);

} // namespace gypsumdale::detail
