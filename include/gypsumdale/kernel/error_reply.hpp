#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/outcome.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <optional> // optional

namespace gypsumdale {

/// Returns the HTTP status of an error. Complexity: constant.
int httpStatusOf(ErrorId id);

/// Returns an error as JSON: `{"error":{"id":301,"name":"queue-full","message":".."}}`.
std::string errorBody(const Error &error);

/// Returns the complete reply for an error. A non-zero retry-after is sent as Retry-After, in whole
/// seconds, rounded up, and as `retry_after_ms` in the body.
HttpReply errorReply(const Error &error, Duration retryAfter = Duration::zero());

/// Adds whether the request ran, as far as known: header `X-Outcome` and `outcome` in the body.
HttpReply errorReply(const Error &error, Outcome outcome, Duration retryAfter = Duration::zero());

} // namespace gypsumdale
