#pragma once

#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <string_view> // string_view

namespace gypsumdale {

/// HTTP interface for callers: chat completions, plain services, durable jobs, and health checks
/// for the load balancer. Runs in the fibers of the traffic loops.
class CallerApi
{
public:
    explicit CallerApi(Traffic &traffic);

    /// Handles a request.
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    void handleChat(const HttpRequest &request, HttpResponder &responder);
    void handleService(const HttpRequest &request, HttpResponder &responder);
    void handleJob(const HttpRequest &request, HttpResponder &responder);
    Result<RequestContext> resolve(const HttpRequest &request, const ServiceId &service,
                                   ServiceKind kind);

    Traffic &m_traffic;
};

/// Returns the credential of an `Authorization: Bearer` header, or an empty string.
std::string_view bearerCredential(const HttpRequest &request);

} // namespace gypsumdale
