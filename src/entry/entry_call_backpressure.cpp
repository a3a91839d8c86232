#include <entry/entry_call.hpp>

/// What a request learns from upstreams that ask for fewer requests, and how it ends when all of
/// them do.
namespace gypsumdale {

/// Records what an upstream's answer says about the requests that it wants. Another process that
/// has taken its address speaks only for itself.
void EntryCall::recordBackpressure(const HttpExchange &exchange, const PooledUpstream &upstream)
{
    const platform::AnswerTraits traits =
            platform::decodeAnswer(exchange.status(), exchange.headers(), m_caller.m_id);
    if (traits.m_isOtherUpstream || !traits.m_answersThisRequest)
        return;
    m_traffic.backpressure().recordAnswer(upstream.process(), exchange.status(),
                                          exchange.headers());
}

/// Records the same of an answer that a peer has relayed.
void EntryCall::recordRelayedBackpressure(const HttpExchange &exchange)
{
    if (const auto process = platform::relayedUpstream(exchange.headers()))
        m_traffic.backpressure().recordRelayedAnswer(*process, exchange.headers());
}

/// Returns the header fields of an answer to be forwarded, to a peer with the upstream's process.
HttpHeaders EntryCall::forwardedHeaders(const UpstreamAnswer &answer) const
{
    HttpHeaders headers = platform::callerHeaders(answer.m_exchange.headers());
    if (m_source == CallSource::Peer)
        platform::addRelayedUpstream(headers, answer.m_guard.upstream().process());
    return headers;
}

/// Returns why no upstream was found for the request.
AttemptStop EntryCall::stopWithoutUpstream()
{
    const auto wait = m_traffic.pool().backpressureWait(placement(), m_traffic.now());
    if (!wait)
        return m_binding.isBound() ? AttemptStop::NoSameVersion : AttemptStop::NoUpstream;
    m_stopRetryAfter = m_traffic.backpressure().returnDelay(m_service, *wait);
    m_traffic.log().info("no-accepting-upstream",
                         {m_caller.m_id,
                          m_service,
                          {LogField::Route, m_route->m_name},
                          {LogField::Count, wait->m_upstreams},
                          {LogField::Share, wait->m_perSecond.value_or(-1)},
                          {LogField::ForecastMillis, toMillis(wait->m_first)},
                          {LogField::HeldMillis, toMillis(m_traffic.now() - m_arrivedAt)},
                          {LogField::RetryAfterMillis, toMillis(m_stopRetryAfter)}});
    return AttemptStop::Backpressure;
}

} // namespace gypsumdale
