#include <gypsumdale/runtime/http_status.hpp>

#include <entry/entry_call.hpp>

#include <algorithm> // max

/// What is done about requests that crash their upstreams.
namespace gypsumdale {

namespace {

constexpr Duration minRejection = std::chrono::seconds(1);
/// Longest wait until it is known whether an upstream has ended under a request, and the interval
/// at which that is checked.
constexpr Duration judgementTimeout = std::chrono::milliseconds(500);
constexpr Duration judgementInterval = std::chrono::milliseconds(5);

} // namespace

const CrashElements &EntryCall::crashElements()
{
    if (!m_crashElements)
        m_crashElements = crashElementsOf(digest(), m_caller.m_model, m_caller.m_promptParts);
    return *m_crashElements;
}

/// Returns whether the request is known to crash its upstreams, and isn't the one that may be
/// tried.
bool EntryCall::isQuarantined()
{
    EntryCrashes &crashes = m_traffic.crashes();
    if (m_isCrashTrial || !crashes.hasQuarantine())
        return false;
    return crashes.rejectedFor(m_service, crashElements()).has_value();
}

/// Rejects a request that is known to crash its upstreams. This attempt has not run anywhere.
/// Returns whether it is rejected.
bool EntryCall::rejectIfQuarantined()
{
    if (!isQuarantined())
        return false;
    EntryCrashes &crashes = m_traffic.crashes();
    if (!m_attempts.mayHaveRun() && crashes.takeTrial(m_service, crashElements())) {
        m_isCrashTrial = true;
        m_traffic.log().warning("quarantine-trial",
                                {m_caller.m_id, {LogField::Text, textOf(crashElements())}});
        return false;
    }
    const Duration left =
            crashes.rejectedFor(m_service, crashElements()).value_or(Duration::zero());
    m_traffic.metrics().add(Counter::QuarantineRejections);
    sendOwnAnswer(statusUnavailable, enumName(attemptStopNames, AttemptStop::Quarantined),
                  std::max(left, minRejection));
    return true;
}

/// Holds a request back until it is known whether the upstream has ended at which its last run
/// broke off. Sent on at once, it might end one more.
void EntryCall::awaitJudgement()
{
    if (!m_attempts.mayHaveRun())
        return;
    const TimePoint end = m_traffic.now() + judgementTimeout;
    while (m_traffic.crashes().mustWait(m_caller.m_id) && m_traffic.now() < end && !m_isCallerGone)
        sleepFiber(judgementInterval);
}

/// Reports a run that broke off without this VM's doing, or a connection that was refused.
/// Upstreams that leave end as planned.
void EntryCall::reportBroken(const PooledUpstream &upstream, const CallFailure &failure,
                             RunStage stage)
{
    const ErrorId error = failure.m_error.m_id;
    const bool isOwnDoing = error == ErrorId::Cancelled || error == ErrorId::TermOver
                            || error == ErrorId::UpstreamSilent || failure.m_isMemoryUsedUp;
    const UpstreamRecord &record = upstream.m_record;
    const bool isPlanned = record.m_isDraining || upstream.m_isGone;
    const bool isUnsent = failure.m_phase == SendPhase::NothingSent;
    if (isOwnDoing || isPlanned || (isUnsent && error != ErrorId::UpstreamUnreachable))
        return;
    BrokenRun run;
    run.m_process = {record.m_id, record.m_startedAt};
    run.m_service = record.m_service;
    run.m_endpoint = {record.m_ip, record.m_port};
    run.m_request = m_caller.m_id;
    run.m_account = m_account ? m_account->m_id : AccountId();
    run.m_route = m_route->m_name;
    run.m_brokenAt = m_traffic.now();
    if (!isUnsent && stage != RunStage::Delivering)
        run.m_suspect = {crashElements(), stage == RunStage::Begun};
    m_traffic.crashes().recordBroken(run);
}

/// Records that an upstream has delivered something of the answer. None of what the request holds
/// crashes its upstreams, which it would before.
void EntryCall::recordDelivery(UpstreamAnswer &answer)
{
    if (answer.m_stage == RunStage::Delivering)
        return;
    answer.m_stage = RunStage::Delivering;
    m_traffic.crashes().recordProof(m_service, crashElements());
}

} // namespace gypsumdale
