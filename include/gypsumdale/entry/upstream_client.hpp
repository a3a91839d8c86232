#pragma once

#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_client.hpp>

namespace gypsumdale {

/// Calls upstreams as HttpClient does, and counts what is sent to them and which connections don't
/// come about.
class UpstreamClient
{
public:
    UpstreamClient(FiberLoop &loop, Metrics &metrics)
        : m_client(loop)
        , m_metrics(metrics)
    {}

    /// As HttpClient::open().
    CallResult<HttpExchange> open(const HttpCall &call);

    /// As HttpClient::call().
    CallResult<HttpReply> call(const HttpCall &call);

private:
    void count(const HttpCall &call, const CallFailure *failure);

    HttpClient m_client;
    Metrics &m_metrics;
};

} // namespace gypsumdale
