#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/stream.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Returns an address as one text, such as "10.0.0.1:80" or "[::1]:80".
std::string nameOf(const Endpoint &endpoint);

/// Returns the failure of a call, whose text begins with the address that was called.
CallFailure failure(SendPhase phase, ErrorId id, const Endpoint &endpoint, std::string_view what);

/// Returns the failure of a connection that could not be opened.
CallFailure connectFailure(const Endpoint &endpoint, StreamStatus status);

/// Returns the failure of a call whose connection was opened, and ended before the first byte of
/// the request was written. Nothing of the request can have been read.
CallFailure connectionReset(const Endpoint &endpoint);

/// Returns the failure of a call whose delivery deadline passed before it was sent.
CallFailure deadlinePassed(const Endpoint &endpoint);

} // namespace gypsumdale::detail
