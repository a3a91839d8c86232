#include <gypsumdale/jobs/job_table.hpp>

#include <fmt/format.h>

#include <algorithm> // min

namespace gypsumdale {

namespace {

constexpr std::uint64_t randomStream = 0x6a6f6273;
constexpr int wordBits = 32;

WallMillis toWallMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string attemptName(const JobId &job, std::int64_t epoch, std::uint64_t attempt)
{
    return fmt::format("{}/{:x}/{:x}", job.text(), epoch, attempt);
}

JobTable::JobTable(JobTableSettings settings)
    : m_settings(std::move(settings))
    , m_ownLog(logOf(m_settings.m_self))
    , m_random(m_settings.m_seed, randomStream)
{}

JobState JobTable::stateOf(const OwnedJob &owned) const
{
    switch (owned.m_mode) {
    case Mode::TakingOver:
        return JobState::TakingOver;
    case Mode::HandingOver:
        return JobState::HandingOver;
    case Mode::Withdrawn:
        return JobState::Withdrawn;
    case Mode::Normal:
        break;
    }
    if (!owned.m_isAccepted)
        return JobState::Offered;
    if (!owned.m_job.isOver() && owned.m_attempt == 0)
        return JobState::Held;
    if (owned.m_job.isOver() && !owned.m_isEndReported)
        return owned.m_isProvisionalReported ? JobState::Provisional : JobState::Running;
    return stateOfPhase(owned.m_job.m_phase);
}

std::vector<JobId> JobTable::ownedIds() const
{
    std::vector<JobId> ids;
    ids.reserve(m_owned.size());
    for (const auto &[id, owned] : m_owned)
        ids.push_back(id);
    return ids;
}

JobTable::OwnedJob *JobTable::findOwned(const JobId &job)
{
    const auto found = m_owned.find(job);
    return found == m_owned.end() ? nullptr : &found->second;
}

JobTable::OwnedJob *JobTable::findAttempt(const JobId &job, std::uint64_t attempt)
{
    OwnedJob *owned = findOwned(job);
    // A cancelled attempt keeps sending until its connection is closed. Its events are recognised
    // by the attempt's number and must not get into the answer of the attempt that replaced it.
    if (owned == nullptr || owned->m_attempt != attempt || attempt == 0) {
        ++m_counters.m_lateEvents;
        return nullptr;
    }
    return owned;
}

Result<JobId> JobTable::offer(const JobRequest &request, TimePoint now)
{
    ++m_counters.m_offered;
    if (m_notice) {
        ++m_counters.m_refused;
        return Error{ErrorId::Draining, "this node is about to be reclaimed"};
    }
    OwnedJob owned;
    const bool canBeHeld = m_platformUp || !chooseHolder(owned).isEmpty();
    if (!canBeHeld || m_owned.size() >= m_settings.m_maximumJobs) {
        ++m_counters.m_refused;
        return Error{ErrorId::JobNotHeld, canBeHeld
                                                  ? "too many jobs run on this node"
                                                  : "neither the platform nor another data centre "
                                                    "can hold the job"};
    }
    const std::uint64_t salt = (static_cast<std::uint64_t>(m_random()) << wordBits) | m_random();
    const JobId id = makeJobId(m_settings.m_self, m_nextNumber++, salt);
    owned.m_job.m_id = id;
    owned.m_job.m_request = request;
    const WallMillis latest = request.m_created + toWallMillis(m_settings.m_maximumJobAge);
    owned.m_job.m_request.m_deadline = std::min(request.m_deadline, latest);
    owned.m_job.m_owner = m_settings.m_self;
    owned.m_job.m_epochs.begin(nextEpoch(0, m_random()), 0);
    owned.m_offeredAt = now;
    OwnedJob &added = m_owned.emplace(id, std::move(owned)).first->second;
    startAttempt(added, now);
    advanceJob(id, now);
    return id;
}

void JobTable::startAttempt(OwnedJob &owned, TimePoint now)
{
    owned.m_attempt = m_nextAttempt++;
    owned.m_nextAttemptAt = now;
    if (!owned.m_job.m_answer.isEmpty())
        ++m_counters.m_resumed;
    emit(StartAttempt{owned.m_job.m_id, owned.m_attempt, owned.m_job.m_epochs.current(),
                      owned.m_job.m_request, owned.m_job.m_answer});
}

void JobTable::cancelAttempt(OwnedJob &owned)
{
    if (owned.m_attempt == 0)
        return;
    emit(CancelAttempt{owned.m_job.m_id, owned.m_attempt});
    owned.m_attempt = 0;
}

void JobTable::accept(OwnedJob &owned)
{
    if (owned.m_isAccepted || owned.m_mode != Mode::Normal)
        return;
    owned.m_isAccepted = true;
    ++m_counters.m_accepted;
    emit(ReportAccepted{owned.m_job.m_id});
}

void JobTable::refuse(OwnedJob &owned, Error error, TimePoint now)
{
    cancelAttempt(owned);
    ++m_counters.m_refused;
    emit(ReportRefused{owned.m_job.m_id, std::move(error)});
    releaseCopies(owned, {});
    owned.m_holder.reset();
    owned.m_mode = Mode::Withdrawn;
    // The offer may still reach the log although no caller waits for it any more; a removal follows
    // it there.
    advanceJob(owned.m_job.m_id, now);
}

void JobTable::finish(OwnedJob &owned, wire::JobPhase::type phase, const std::string &reason,
                      TimePoint now)
{
    owned.m_attempt = 0;
    owned.m_job.m_phase = phase;
    owned.m_job.m_finishReason = reason;
    if (phase == wire::JobPhase::Finished)
        ++m_counters.m_finished;
    else if (phase == wire::JobPhase::Failed)
        ++m_counters.m_failed;
    else
        ++m_counters.m_expired;
    advanceJob(owned.m_job.m_id, now);
}

void JobTable::reportEnded(OwnedJob &owned)
{
    if (owned.m_isEndReported || !owned.m_isAccepted)
        return;
    owned.m_isEndReported = true;
    emit(ReportEnded{owned.m_job.m_id, stateOf(owned)});
}

/// Reports the end of a job to its callers while the log is unreachable. A failure is reported as
/// final. An answer is only provisional, as it becomes final in the log, which another owner may
/// reach first.
void JobTable::reportEndedByHolder(OwnedJob &owned)
{
    if (owned.m_job.m_phase != wire::JobPhase::Finished) {
        reportEnded(owned);
        return;
    }
    if (owned.m_isProvisionalReported || owned.m_isEndReported || !owned.m_isAccepted)
        return;
    owned.m_isProvisionalReported = true;
    emit(ReportEnded{owned.m_job.m_id, JobState::Provisional});
}

void JobTable::onTokens(const JobId &job, std::uint64_t attempt, std::int64_t firstToken,
                        const AnswerText &tokens, TimePoint /*now*/)
{
    OwnedJob *owned = findAttempt(job, attempt);
    if (owned == nullptr)
        return;
    const std::int64_t had = owned->m_job.m_answer.tokens();
    if (firstToken > had || firstToken + tokens.tokens() <= had) {
        ++m_counters.m_lateEvents;
        return;
    }
    owned->m_job.m_answer.append(firstToken == had ? tokens : tokens.from(had - firstToken));
    m_tokensSinceCheckpoint += owned->m_job.m_answer.tokens() - had;
}

void JobTable::onAttemptFinished(const JobId &job, std::uint64_t attempt, std::int64_t wholeTokens,
                                 const std::string &finishReason, TimePoint now)
{
    OwnedJob *owned = findAttempt(job, attempt);
    if (owned == nullptr)
        return;
    // An answer from which tokens were lost on the way here must not count as complete.
    if (owned->m_job.m_answer.tokens() != wholeTokens) {
        onAttemptFailed(job, attempt, false, now);
        return;
    }
    finish(*owned, wire::JobPhase::Finished, finishReason, now);
}

void JobTable::onAttemptFailed(const JobId &job, std::uint64_t attempt, bool isPermanent,
                               TimePoint now)
{
    OwnedJob *owned = findAttempt(job, attempt);
    if (owned == nullptr)
        return;
    if (isPermanent) {
        finish(*owned, wire::JobPhase::Failed, "failed", now);
        return;
    }
    owned->m_attempt = 0;
    owned->m_nextAttemptAt = now + m_settings.m_attemptBackoff;
}

void JobTable::onUpstreamLeaving(const JobId &job, std::uint64_t attempt, TimePoint now)
{
    OwnedJob *owned = findAttempt(job, attempt);
    if (owned == nullptr)
        return;
    cancelAttempt(*owned);
    startAttempt(*owned, now);
}

void JobTable::onReclaimNotice(ReclaimScope scope, TimePoint now)
{
    const bool isWider = scope == ReclaimScope::OwnDataCentre && m_notice == ReclaimScope::OwnVm;
    if (m_notice && !isWider)
        return;
    m_notice = scope;
    for (const JobId &id : ownedIds()) {
        OwnedJob &owned = m_owned.at(id);
        if (owned.m_mode == Mode::TakingOver)
            m_owned.erase(id); // transferCopies() passes on its copy, if any.
        else if (!owned.m_isAccepted && owned.m_mode == Mode::Normal)
            refuse(owned, Error{ErrorId::Draining, "this node is about to be reclaimed"}, now);
        else if (owned.m_mode != Mode::Withdrawn)
            beginHandOver(owned, now);
    }
    transferCopies();
}

void JobTable::advanceJob(const JobId &job, TimePoint now)
{
    OwnedJob *owned = findOwned(job);
    if (owned == nullptr)
        return;
    FollowedLog *log = writableLog(*logOf(job), now);
    if (log != nullptr) {
        if (!reconcile(job, *log, now))
            return;
        appendMissing(*owned, *log, now);
    }
    const bool neverAppended = owned->m_mode == Mode::Withdrawn && !owned->m_appended;
    if (neverAppended) {
        m_owned.erase(job);
        return;
    }
    syncToHolder(*owned, now);
}

void JobTable::tickJob(const JobId &job, TimePoint now, WallMillis wallNow)
{
    OwnedJob *owned = findOwned(job);
    if (owned == nullptr)
        return;
    const bool isRunnable = owned->m_mode == Mode::Normal && !owned->m_job.isOver();
    if (isRunnable && !owned->m_isAccepted
        && now - owned->m_offeredAt >= m_settings.m_acceptTimeout) {
        refuse(*owned,
               Error{ErrorId::JobNotHeld, "the job could not be held outside its data centre"},
               now);
        return;
    }
    if (isRunnable && wallNow >= owned->m_job.m_request.m_deadline) {
        cancelAttempt(*owned);
        finish(*owned, wire::JobPhase::Expired, "expired", now);
        return;
    }
    if (isRunnable && owned->m_attempt == 0 && now >= owned->m_nextAttemptAt)
        startAttempt(*owned, now);
    if (owned->m_mode == Mode::HandingOver)
        advanceHandOver(*owned, now);
    advanceJob(job, now);
}

void JobTable::tick(TimePoint now, WallMillis wallNow)
{
    checkpoint(now);
    for (const JobId &id : ownedIds())
        tickJob(id, now, wallNow);
    takeOverCopies(now);
    tickLogs(now);
    removeFinished(now);
    for (auto copy = m_copyOwners.begin(); copy != m_copyOwners.end();) {
        const Job *job = m_copies.find(copy->first);
        const WallMillis removeAt = toWallMillis(m_settings.m_retention)
                                    + (job == nullptr ? 0 : job->m_request.m_deadline);
        if (job != nullptr && wallNow < removeAt) {
            ++copy;
            continue;
        }
        m_copies.forget(copy->first);
        copy = m_copyOwners.erase(copy);
    }
}

void JobTable::checkpoint(TimePoint now)
{
    CheckpointLoad load;
    for (const auto &[id, owned] : m_owned) {
        if (owned.m_mode != Mode::Normal || owned.m_job.isOver())
            continue;
        ++load.m_runningJobs;
        load.m_unsavedTokens += owned.m_job.m_answer.tokens() - owned.m_checkpointTo;
    }
    load.m_sinceLastWrite = now - m_lastCheckpoint;
    const double seconds = toSeconds(load.m_sinceLastWrite);
    load.m_tokensPerSecond =
            seconds > 0 ? static_cast<double>(m_tokensSinceCheckpoint) / seconds : 0;
    if (load.m_unsavedTokens == 0) {
        m_lastCheckpoint = now;
        m_tokensSinceCheckpoint = 0;
        return;
    }
    if (!isCheckpointDue(m_settings.m_checkpoints, load))
        return;
    m_lastCheckpoint = now;
    m_tokensSinceCheckpoint = 0;
    for (auto &[id, owned] : m_owned)
        owned.m_checkpointTo = owned.m_job.m_answer.tokens();
}

void JobTable::removeFinished(TimePoint now)
{
    while (!m_finished.empty()) {
        const FinishedJob &oldest = m_finished.front();
        const bool isKept = now - oldest.m_finishedAt < m_settings.m_retention
                            && m_finished.size() <= m_settings.m_maximumFinished
                            && m_finishedBytes <= m_settings.m_maximumFinishedBytes;
        if (isKept || !m_platformUp)
            return;
        wire::JobRecord record;
        wire::JobRemoved removed;
        removed.job = oldest.m_job.text();
        removed.epoch = oldest.m_epoch;
        record.__set_removed(removed);
        emit(AppendRecord{*logOf(oldest.m_job), record});
        m_finishedBytes -= oldest.m_bytes;
        m_finished.pop_front();
    }
}

bool JobTable::isDrained() const
{
    return m_owned.empty();
}

JobCommands JobTable::takeCommands()
{
    return std::exchange(m_commands, {});
}

} // namespace gypsumdale
