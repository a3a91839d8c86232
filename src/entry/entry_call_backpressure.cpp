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
    m_traffic.backpressure().recordAnswer(upstream, exchange.status(), exchange.headers());
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
