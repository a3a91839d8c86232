#pragma once

#include <gypsumdale/observe/metrics.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <memory> // shared_ptr
#include <utility> // move

namespace gypsumdale {

/// Calls upstreams through HttpClient, and counts the bytes sent to them and failed connection
/// attempts.
class UpstreamClient
{
public:
    /// The memory limits all answers together that are read completely; null for no limit.
    UpstreamClient(FiberLoop &loop, Metrics &metrics, std::shared_ptr<BodyMemory> memory = nullptr)
        : m_client(loop, std::move(memory))
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
