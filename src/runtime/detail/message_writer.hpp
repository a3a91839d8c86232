#pragma once

#include <gypsumdale/runtime/http_message.hpp>

#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// How the end of a message's body is marked.
struct BodyLength
{
    /// Nothing means chunked.
    std::optional<std::size_t> m_bytes;
};

/// Writes an answer's header, with the framing fields in place of the caller's own. Linear.
std::string answerHead(int status, const HttpHeaders &headers, BodyLength length, bool keepAlive);

/// Writes a request's header, with the framing fields in place of the caller's own, and Host if
/// the caller gave none. Linear.
std::string requestHead(std::string_view method, std::string_view target, std::string_view host,
                        const HttpHeaders &headers, std::size_t bodyBytes);

/// Tells whether answers of this status never have a body.
bool isBodyless(int status);

} // namespace gypsumdale::detail
