#pragma once

#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <string_view> // string_view

namespace gypsumdale {

/// The interface towards callers: chat completions, plain services, durable jobs, and the checks of
/// the balancer. Runs in the fibers of the traffic loops.
class CallerApi
{
public:
    explicit CallerApi(Traffic &traffic);

    /// Answers one request.
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    void handleChat(const HttpRequest &request, HttpResponder &responder);
    void handleService(const HttpRequest &request, HttpResponder &responder);
    void handleJob(const HttpRequest &request, HttpResponder &responder);
    Result<RequestContext> resolve(const HttpRequest &request, const ServiceId &service,
                                   ServiceKind kind);

    Traffic &m_traffic;
};

/// Returns the credential of an `Authorization: Bearer` header, or an empty text.
std::string_view bearerCredential(const HttpRequest &request);

} // namespace gypsumdale
