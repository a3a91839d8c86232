#include <gypsumdale/jobs/job_table.hpp>

#include <algorithm> // max

namespace gypsumdale {

namespace {

/// Maximum age of a read of the log by which a job may be reported as unknown. A read takes some
/// tens of milliseconds, and half a second with a slow store; a caller that asks again does so
/// after a longer pause.
constexpr Duration maxDenialAge = std::chrono::seconds(1);

/// Returns the same error for a job that does not exist and for a job of another member.
Error unknownJob()
{
    return Error{ErrorId::JobUnknown, "no such job"};
}

} // namespace

ReattachAnswer JobTable::serve(const Job &job, JobState state, const AnswerPosition &position) const
{
    const EpochCheck check =
            job.m_epochs.check(position.m_epoch, position.m_offset, job.m_answer.tokens());
    return std::visit(
            Overloaded{
                    [&](const ContinueAt &at) -> ReattachAnswer {
                        const AnswerPosition from{job.m_epochs.epochAt(at.m_offset), at.m_offset};
                        return ServeFrom{from, job.m_answer.from(at.m_offset), job.m_epochs, state,
                                         job.m_finishReason};
                    },
                    [](const DiscardAfter &back) -> ReattachAnswer {
                        return DiscardTokens{{back.m_epoch, back.m_offset}};
                    },
                    [&](const UnknownEpoch &) -> ReattachAnswer {
                        return DiscardTokens{{job.m_epochs.current(), 0}};
                    },
            },
            check);
}

ReattachAnswer JobTable::reattach(const JobId &job, const MemberId &member,
                                  const AnswerPosition &position, TimePoint now)
{
    const OwnedJob *owned = findOwned(job);
    if (owned != nullptr) {
        if (owned->m_job.m_request.m_member != member || owned->m_mode == Mode::Withdrawn)
            return unknownJob();
        if (owned->m_mode == Mode::TakingOver)
            return Error{ErrorId::NotReady, "the job is being taken over"};
        return serve(owned->m_job, stateOf(*owned), position);
    }
    if (const auto handed = m_handedTo.find(job); handed != m_handedTo.end()) {
        if (handed->second.m_member != member)
            return unknownJob();
        return RedirectToNode{handed->second.m_node};
    }
    if (const auto copy = m_copyOwners.find(job); copy != m_copyOwners.end()) {
        const Job *held = m_copies.find(job);
        if (held == nullptr || held->m_request.m_member != member)
            return unknownJob();
        if (m_dead.contains(copy->second))
            return Error{ErrorId::NotReady, "the owner of the job is dead"};
        return RedirectToNode{copy->second.m_node};
    }
    return reattachLogged(job, member, position, now);
}

ReattachAnswer JobTable::reattachLogged(const JobId &job, const MemberId &member,
                                        const AnswerPosition &position, TimePoint now)
{
    const std::optional<JobLogId> log = logOf(job);
    if (!log)
        return unknownJob();
    const ProcessRef origin = *processOf(*log);
    const JobPeer *peer = findPeer(origin.m_node);
    const bool isOriginLive = peer != nullptr && peer->m_process == origin;
    const auto found = m_logs.find(*log);
    const bool isRead = found != m_logs.end() && found->second.m_isCaughtUp;
    if (!isRead) {
        if (isOriginLive && !m_platformUp)
            return RedirectToNode{origin.m_node};
        if (!m_platformUp)
            return Error{ErrorId::PlatformUnreachable, "the job's log can't be read now"};
        follow(*log, now);
        return AwaitLog{*log};
    }
    found->second.m_lastUsedAt = now;
    if (const Job *logged = found->second.m_state.find(job)) {
        if (logged->m_request.m_member != member)
            return unknownJob();
        if (logged->isOver())
            return serve(*logged, stateOfPhase(logged->m_phase), position);
        if (logged->m_owner == m_settings.m_self || m_dead.contains(logged->m_owner))
            return Error{ErrorId::NotReady, "the job is being taken over"};
        return RedirectToNode{logged->m_owner.m_node};
    }
    if (found->second.m_state.wasRemoved(job) || origin == m_settings.m_self)
        return unknownJob();
    if (isOriginLive)
        return RedirectToNode{origin.m_node};
    const TimePoint reportsFrom = std::max(m_platformUpSince, found->second.m_originSeenAt);
    if (!m_platformUp || now - reportsFrom < m_settings.m_unknownJobDelay)
        return Error{ErrorId::NotReady, "the job's holder may still have to report"};
    // Guards against an outdated read: the log may have accepted a job while this node was paused,
    // and its caller would be told that the job does not exist. Only a recent read proves that it
    // is missing.
    if (now - found->second.m_readStartedAt > maxDenialAge) {
        requestRead(*log, found->second, now);
        return AwaitLog{*log};
    }
    return unknownJob();
}

std::vector<JobSummary> JobTable::summaries() const
{
    std::vector<JobSummary> result;
    const auto add = [&result](const Job &job, JobState state, bool isHeld) {
        result.push_back({job.m_id, job.m_request.m_member, job.m_request.m_profile, state,
                          job.m_owner.m_node, job.m_epochs.current(), job.m_answer.tokens(),
                          isHeld});
    };
    for (const auto &[id, owned] : m_owned)
        add(owned.m_job, stateOf(owned), owned.m_isAccepted);
    const auto own = m_logs.find(m_ownLog);
    if (own == m_logs.end())
        return result;
    for (const auto &[id, job] : own->second.m_state.jobs()) {
        if (job.isOver() && !m_owned.contains(id))
            add(job, stateOfPhase(job.m_phase), true);
    }
    return result;
}

} // namespace gypsumdale
