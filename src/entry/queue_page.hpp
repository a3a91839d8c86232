#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/runtime/http_message.hpp>
#include <gypsumdale/serving/service_gate.hpp>

#include <map> // map

namespace gypsumdale {

/// Returns whether a request on the address for metrics is about the queues.
bool isQueuePage(const HttpRequest &request);

/// Answers with a list of the services (GET /-/queues): slots, requests in flight, window, waiting
/// requests, the accounts in the order in which they are served, and rejections by reason.
HttpReply answerQueuePage(const HttpRequest &request, const std::map<ServiceId, GateView> &views);

} // namespace gypsumdale
