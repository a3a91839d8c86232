#include <gypsumdale/jobs/job_log_state.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

/// Covers all removals whose records may still be in transit after the job is gone.
constexpr std::size_t maxRememberedRemovals = 10'000;

} // namespace

RecordEffect JobLogState::apply(const wire::JobRecord &record)
{
    if (record.__isset.offered)
        return applyOffered(record.offered);
    if (record.__isset.progress)
        return applyProgress(record.progress);
    if (record.__isset.finished)
        return applyFinished(record.finished);
    if (record.__isset.takeover)
        return applyTakeover(record.takeover);
    if (record.__isset.removed)
        return applyRemoved(record.removed);
    return RecordEffect::Malformed;
}

RecordEffect JobLogState::applyOffered(const wire::JobOffered &record)
{
    Result<Job> job = fromWire(record.snapshot);
    if (!succeeded(job))
        return RecordEffect::Malformed;
    const JobId id = valueOf(job).m_id;
    // A repeated offer that arrives after the removal must not restore the job.
    if (wasRemoved(id))
        return RecordEffect::Fenced;
    const bool isNew = m_jobs.try_emplace(id, valueOf(std::move(job))).second;
    return isNew ? RecordEffect::Applied : RecordEffect::Repeated;
}

RecordEffect JobLogState::applyProgress(const wire::JobProgress &record)
{
    const auto found = m_jobs.find(JobId(record.job));
    // A paused owner appends what it generated after its job was taken over. The epoch that its
    // records name is no longer the job's, so that its text does not get into the successor's
    // answer.
    if (found == m_jobs.end() || found->second.m_epochs.current() != record.epoch
        || found->second.isOver()) {
        return RecordEffect::Fenced;
    }
    Job &job = found->second;
    const std::int64_t had = job.m_answer.tokens();
    const std::int64_t skipped = had - record.fromTokens;
    const Result<AnswerText> piece = AnswerText::decode(record.text, record.tokenLengths);
    if (!succeeded(piece) || skipped < 0)
        return RecordEffect::Malformed;
    if (valueOf(piece).tokens() <= skipped)
        return RecordEffect::Repeated;
    job.m_answer.append(valueOf(piece).from(skipped));
    return RecordEffect::Applied;
}

RecordEffect JobLogState::applyFinished(const wire::JobFinished &record)
{
    const auto found = m_jobs.find(JobId(record.rest.job));
    if (found == m_jobs.end() || found->second.m_epochs.current() != record.rest.epoch)
        return RecordEffect::Fenced;
    Job &job = found->second;
    if (job.isOver())
        return RecordEffect::Repeated;
    const bool isPhase =
            record.phase > wire::JobPhase::Running && record.phase <= wire::JobPhase::Expired;
    const RecordEffect rest = applyProgress(record.rest);
    // An answer with missing tokens is never complete; its owner appends it again.
    if (!isPhase || rest == RecordEffect::Malformed
        || job.m_answer.tokens() != record.wholeTokens) {
        return RecordEffect::Malformed;
    }
    job.m_phase = record.phase;
    job.m_finishReason = record.finishReason;
    return RecordEffect::Applied;
}

RecordEffect JobLogState::applyTakeover(const wire::JobTakeover &record)
{
    const auto found = m_jobs.find(JobId(record.job));
    if (found == m_jobs.end() || found->second.isOver())
        return RecordEffect::Fenced;
    Job &job = found->second;
    if (job.m_epochs.current() == record.epoch)
        return RecordEffect::Repeated;
    // Two nodes may take over the same job at the same time: the first record in the log takes
    // effect, and the second one names an outdated epoch. A node whose copy is behind the log must
    // read the missing tokens first.
    if (job.m_epochs.current() != record.previousEpoch || job.m_answer.tokens() != record.offset)
        return RecordEffect::Fenced;
    job.m_epochs.begin(record.epoch, record.offset);
    job.m_owner = fromWire(record.newOwner);
    return RecordEffect::Applied;
}

RecordEffect JobLogState::applyRemoved(const wire::JobRemoved &record)
{
    const auto found = m_jobs.find(JobId(record.job));
    if (found == m_jobs.end())
        return wasRemoved(JobId(record.job)) ? RecordEffect::Repeated : RecordEffect::Fenced;
    if (found->second.m_epochs.current() != record.epoch)
        return RecordEffect::Fenced;
    rememberRemoved(found->first);
    m_jobs.erase(found);
    return RecordEffect::Applied;
}

void JobLogState::rememberRemoved(const JobId &job)
{
    if (!m_removed.insert(job).second)
        return;
    m_removedOrder.push_back(job);
    if (m_removedOrder.size() <= maxRememberedRemovals)
        return;
    m_removed.erase(m_removedOrder.front());
    m_removedOrder.pop_front();
}

const Job *JobLogState::find(const JobId &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void JobLogState::forget(const JobId &job)
{
    m_jobs.erase(job);
}

} // namespace gypsumdale
