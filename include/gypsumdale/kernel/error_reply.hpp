#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/outcome.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <optional> // optional

namespace gypsumdale {

/// Returns the HTTP status that an error is answered with. Constant.
int httpStatusOf(ErrorId id);

/// Writes an error as `{"error":{"id":301,"name":"queue-full","message":".."}}`.
std::string errorBody(const Error &error);

/// Makes the whole answer for an error. A time to come back that is not zero becomes Retry-After,
/// in whole seconds, rounded up, and `retry_after_ms` in the body.
HttpReply errorReply(const Error &error, Duration retryAfter = Duration::zero());

/// Adds what is known of whether the request ran: header `X-Outcome` and `outcome` in the body.
HttpReply errorReply(const Error &error, Outcome outcome, Duration retryAfter = Duration::zero());

} // namespace gypsumdale
