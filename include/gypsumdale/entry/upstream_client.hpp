#pragma once

#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_client.hpp>

namespace gypsumdale {

/// Calls upstreams through HttpClient, and counts the bytes sent to them and failed connection
/// attempts.
class UpstreamClient
{
public:
    UpstreamClient(FiberLoop &loop, Metrics &metrics)
        : m_client(loop)
        , m_metrics(metrics)
    {}

    /// Same as HttpClient::open().
    CallResult<HttpExchange> open(const HttpCall &call);

    /// Same as HttpClient::send().
    CallResult<HttpExchange> send(const HttpCall &call);

    /// Same as HttpClient::call().
    CallResult<HttpReply> call(const HttpCall &call);

    /// Same as HttpClient::canConnect().
    static bool canConnect(const Endpoint &endpoint, Duration timeout)
    {
        return HttpClient::canConnect(endpoint, timeout);
    }

private:
    void count(const HttpCall &call, const CallFailure *failure);

    HttpClient m_client;
    Metrics &m_metrics;
};

} // namespace gypsumdale
