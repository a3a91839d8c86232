#include <entry/entry_call.hpp>

#include <utility> // exchange

/// What a request's answers say of the software versions of its upstreams.
namespace gypsumdale {

/// Counts an answer for the version of its upstream, once.
void EntryCall::recordVersionAnswer(UpstreamAnswer &answer, bool isError)
{
    if (!answer.m_sentAt)
        return;
    if (isError && m_route->isRetryable()) {
        recordVersionError(answer);
        return;
    }
    const Duration time = m_traffic.now() - *std::exchange(answer.m_sentAt, std::nullopt);
    m_traffic.rollouts().recordAnswer(m_route->m_name, answer.m_guard.upstream().m_record, isError,
                                      time);
    countVersionError();
}

/// Counts what arrived in place of an answer as an error, like one of the upstream's own. Other
/// failures may have their cause in the path or in the process.
void EntryCall::recordVersionFailure(UpstreamAnswer &answer, const CallFailure &failure)
{
    if (failure.m_isMalformed)
        recordVersionAnswer(answer, true);
}

/// Keeps an error until another upstream has answered the request. An error of two of them is the
/// request's own and says nothing of a version.
void EntryCall::recordVersionError(UpstreamAnswer &answer)
{
    const Duration time = m_traffic.now() - *std::exchange(answer.m_sentAt, std::nullopt);
    if (std::exchange(m_doubtfulError, std::nullopt))
        return;
    m_doubtfulError = DoubtfulError{answer.m_guard.upstream().m_record, time};
}

/// Counts a kept error, as no other upstream has repeated it.
void EntryCall::countVersionError()
{
    if (const auto error = std::exchange(m_doubtfulError, std::nullopt))
        m_traffic.rollouts().recordAnswer(m_route->m_name, error->m_upstream, true, error->m_time);
}

} // namespace gypsumdale
