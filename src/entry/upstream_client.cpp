#include <gypsumdale/entry/upstream_client.hpp>

namespace gypsumdale {

CallResult<HttpExchange> UpstreamClient::open(const HttpCall &call)
{
    CallResult<HttpExchange> result = m_client.open(call);
    count(call, std::get_if<CallFailure>(&result));
    return result;
}

CallResult<HttpExchange> UpstreamClient::send(const HttpCall &call)
{
    CallResult<HttpExchange> result = m_client.send(call);
    count(call, std::get_if<CallFailure>(&result));
    return result;
}

CallResult<HttpReply> UpstreamClient::call(const HttpCall &call)
{
    CallResult<HttpReply> result = m_client.call(call);
    count(call, std::get_if<CallFailure>(&result));
    return result;
}

void UpstreamClient::count(const HttpCall &call, const CallFailure *failure)
{
    const bool isSent = !failure || failure->m_phase != SendPhase::NothingSent;
    if (isSent) {
        m_metrics.add(Counter::UpstreamBytesSent, call.m_body.size());
        return;
    }
    if (failure->m_error.m_id == ErrorId::Timeout)
        m_metrics.add(Counter::UpstreamConnectsTimedOut);
    const bool isReset = failure->m_error.m_id == ErrorId::ConnectionClosed;
    if (failure->m_error.m_id == ErrorId::UpstreamUnreachable || isReset)
        m_metrics.add(Counter::UpstreamConnectsRefused);
}

} // namespace gypsumdale
