#pragma once

#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <string> // string

namespace gypsumdale {

/// Returns a complete reply with plain text.
HttpReply textReply(int status, std::string text);

/// Returns the reply to a readiness check of a load balancer or an operator: 200 while this process
/// accepts requests, otherwise 503 with the reason. It is 503 as soon as a shutdown starts, while
/// requests are still accepted, so that the load balancer stops sending before any is refused.
/// Waits for the control thread.
HttpReply readyReply(Traffic &traffic);

} // namespace gypsumdale
