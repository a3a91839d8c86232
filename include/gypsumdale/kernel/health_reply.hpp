#pragma once

#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <string> // string

namespace gypsumdale {

/// Makes a whole answer of plain text.
HttpReply textReply(int status, std::string text);

/// Answers a balancer's or an operator's check: 200 while this process wants requests, 503 with the
/// reason otherwise. It fails as soon as a shutdown begins, while requests are still taken, so that
/// the balancer turns away before anybody is refused. Waits for the control thread.
HttpReply readyReply(Traffic &traffic);

} // namespace gypsumdale
