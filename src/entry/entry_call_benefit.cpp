#include <entry/entry_call.hpp>

#include <utility> // exchange

/// Whether a request that ran and was answered with an error is run again.
namespace gypsumdale {

/// Records what the answer to a run says of its upstream, and of the benefit of second runs.
void EntryCall::recordRunResult(UpstreamAnswer &answer, int status)
{
    const bool isError = status >= 500;
    const TimePoint now = m_traffic.now();
    RetryBenefit &benefit = m_traffic.retryBenefit();
    // The error of a relayed answer is that of an upstream behind the peer.
    if (!answer.m_isRelayed)
        benefit.recordAnswer(m_service, answer.m_guard.upstream().m_record.m_id, isError, now);
    if (const auto kind = std::exchange(m_errorKind, std::nullopt))
        benefit.recordSecondRun(*kind, !isError, now);
}

/// Decides about an error answer of a request that may be repeated. A roll-out judges a version by
/// what other upstreams answer to the same request, so that nothing changes while there is one.
bool EntryCall::isWorthSecondRun(UpstreamAnswer &answer, int status)
{
    const bool isAllowed = m_attempts.possibleRuns() < maxAttempts();
    if (!isAllowed || m_traffic.rollouts().openScope(m_service))
        return true;
    m_errorKind = ErrorKind{m_service, m_route->m_name, status};
    const UpstreamId &upstream = answer.m_guard.upstream().m_record.m_id;
    const RetryBenefitDecision decision = m_traffic.retryBenefit().decide(
            *m_errorKind, answer.m_isRelayed ? std::nullopt : std::optional(upstream),
            m_traffic.now());
    m_traffic.metrics().add(decision.isRetried() ? Counter::ErrorsRetried
                                                 : Counter::ErrorsNotRetried);
    m_traffic.log().info("error-answered",
                         {m_caller.m_id,
                          upstream,
                          {LogField::Route, m_route->m_name},
                          {LogField::Status, status},
                          {LogField::Outcome, decision.isRetried() ? "retried" : "forwarded"},
                          {LogField::Reason, enumName(retryBenefitReasonNames, decision.m_reason)},
                          {LogField::SecondRuns, decision.m_secondRuns},
                          {LogField::SecondRunsHelped, decision.m_helped},
                          {LogField::Answers, decision.m_answers},
                          {LogField::BadAnswers, decision.m_errors},
                          {LogField::ControlShare, decision.m_medianShare}});
    return decision.isRetried();
}

} // namespace gypsumdale
