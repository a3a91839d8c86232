#include <gypsumdale/jobs/job_table.hpp>

#include <algorithm> // find_if
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Approximate bytes of text in one progress record; logs limit the size of their records.
constexpr std::size_t maxRecordText = std::size_t{16} * 1024;

std::size_t indexOfEpoch(const EpochHistory &history, std::int64_t epoch)
{
    const auto &starts = history.starts();
    const auto found =
            std::find_if(starts.begin(), starts.end(), [epoch](const EpochHistory::Start &start) {
                return start.m_epoch == epoch;
            });
    return static_cast<std::size_t>(found - starts.begin());
}

/// Returns the end of the tokens from `from` on that fit into one record; at least one token.
std::int64_t recordEnd(const AnswerText &answer, std::int64_t from, std::int64_t to)
{
    const std::size_t start = answer.bytesBefore(from);
    if (answer.bytesBefore(to) - start <= maxRecordText)
        return to;
    std::int64_t low = from + 1;
    std::int64_t high = to;
    while (low < high) {
        const std::int64_t middle = low + (high - low + 1) / 2;
        if (answer.bytesBefore(middle) - start <= maxRecordText)
            low = middle;
        else
            high = middle - 1;
    }
    return low;
}

} // namespace

JobTable::FollowedLog &JobTable::follow(const JobLogId &log, TimePoint now)
{
    const auto [entry, isNew] = m_logs.try_emplace(log);
    entry->second.m_lastUsedAt = now;
    if (isNew) {
        entry->second.m_originSeenAt = now;
        requestRead(log, entry->second, now);
    }
    return entry->second;
}

void JobTable::requestRead(const JobLogId &log, FollowedLog &followed, TimePoint now)
{
    if (followed.m_readRequestedAt)
        return;
    followed.m_readRequestedAt = now;
    emit(FollowLog{log});
}

JobTable::FollowedLog *JobTable::writableLog(const JobLogId &log, TimePoint now)
{
    if (!m_platformUp)
        return nullptr;
    FollowedLog &followed = follow(log, now);
    // What others wrote must be known first: only then is it clear which records are missing in the
    // log.
    return followed.m_isCaughtUp ? &followed : nullptr;
}

void JobTable::onPlatformChanged(bool up, TimePoint now)
{
    if (up == m_platformUp)
        return;
    m_platformUp = up;
    if (!up)
        return;
    m_platformUpSince = now;
    follow(m_ownLog, now);
    for (const JobId &id : ownedIds())
        advanceJob(id, now);
}

void JobTable::onLogCaughtUp(const JobLogId &log, TimePoint now)
{
    const auto found = m_logs.find(log);
    if (found == m_logs.end())
        return;
    found->second.m_isCaughtUp = true;
    if (const auto askedAt = std::exchange(found->second.m_readRequestedAt, std::nullopt))
        found->second.m_readStartedAt = *askedAt;
    found->second.m_takeOverAt = now + m_settings.m_successorDelay;
    for (const JobId &id : ownedIds()) {
        if (logOf(id) == log)
            advanceJob(id, now);
    }
}

void JobTable::onAppendLost(const JobLogId &log, TimePoint /*now*/)
{
    for (auto &[id, owned] : m_owned) {
        if (logOf(id) == log)
            owned.m_appended.reset();
    }
}

void JobTable::onRecordApplied(const JobLogId &log, const wire::JobRecord &record, TimePoint now)
{
    const auto found = m_logs.find(log);
    if (found == m_logs.end())
        return;
    FollowedLog &followed = found->second;
    const RecordEffect effect = followed.m_state.apply(record);
    const JobId job = jobOf(record);
    if (effect != RecordEffect::Applied || !followed.m_isCaughtUp)
        return;
    const Job *changed = followed.m_state.find(job);
    // The owner may have died before this node learned that it existed.
    if (changed != nullptr && !changed->isOver() && !isLive(changed->m_owner))
        followed.m_takeOverAt = now + m_settings.m_successorDelay;
    if (m_owned.contains(job)) {
        reconcile(job, followed, now);
        advanceJob(job, now);
        return;
    }
    const bool isOurs = record.__isset.takeover && changed != nullptr && !changed->isOver()
                        && changed->m_owner == m_settings.m_self && !m_handedTo.contains(job);
    if (!isOurs)
        return;
    OwnedJob &added = m_owned[job];
    adoptLogged(added, *changed, now);
}

/// Aligns this node's state of a job with the log. Returns whether the node still has the job.
bool JobTable::reconcile(const JobId &job, FollowedLog &log, TimePoint now)
{
    OwnedJob &owned = m_owned.at(job);
    if (log.m_state.wasRemoved(job)) {
        cancelAttempt(owned);
        releaseCopies(owned, {});
        m_owned.erase(job);
        return false;
    }
    const Job *logged = log.m_state.find(job);
    if (logged == nullptr)
        return true;
    if (!reconcileEpoch(owned, *logged, now) || !m_owned.contains(job))
        return false;
    updateFromLog(owned, *logged, now);
    return m_owned.contains(job);
}

bool JobTable::reconcileEpoch(OwnedJob &owned, const Job &logged, TimePoint now)
{
    const auto &starts = owned.m_job.m_epochs.starts();
    const std::int64_t epoch = logged.m_epochs.current();
    const std::size_t index = indexOfEpoch(owned.m_job.m_epochs, epoch);
    const bool isLast = index + 1 == starts.size();
    const bool isKnown = index < starts.size()
                         && (isLast || logged.m_answer.tokens() <= starts[index + 1].m_offset);
    if (!isKnown) {
        if (logged.m_owner == m_settings.m_self && !logged.isOver()) {
            adoptLogged(owned, logged, now);
            return true;
        }
        // Another node took the job over while this node was paused or partitioned. This node acts
        // as the owner until it reads the takeover here; what it appended in the meantime names an
        // old epoch and has no effect.
        fence(owned, logged);
        return false;
    }
    const bool hasMore = logged.m_answer.tokens() > owned.m_job.m_answer.tokens();
    const bool isOver = logged.isOver() && !owned.m_job.isOver();
    if (owned.m_mode == Mode::TakingOver && isLast && (hasMore || isOver)) {
        // The owner was still alive when its death was reported: the takeover that is on its way
        // names an offset that the log has passed, so that a new one is needed.
        owned.m_job = logged;
        owned.m_appended.reset();
        owned.m_takeoverEpoch = 0;
    }
    return true;
}

void JobTable::adoptLogged(OwnedJob &owned, const Job &logged, TimePoint now)
{
    cancelAttempt(owned);
    reportOverruled(owned, logged);
    owned.m_isProvisionalReported = false;
    owned.m_job = logged;
    owned.m_mode = Mode::Normal;
    owned.m_isAccepted = true;
    owned.m_appended.reset();
    owned.m_takeoverEpoch = 0;
    owned.m_holder.reset();
    owned.m_checkpointTo = logged.m_answer.tokens();
    ++m_counters.m_takenOver;
    removeCopy(logged.m_id);
    if (m_notice)
        beginHandOver(owned, now);
    else
        startAttempt(owned, now);
}

void JobTable::fence(OwnedJob &owned, const Job &logged)
{
    const JobId job = owned.m_job.m_id;
    cancelAttempt(owned);
    releaseCopies(owned, {});
    reportOverruled(owned, logged);
    if (owned.m_mode == Mode::Normal) {
        const std::int64_t had = owned.m_job.m_answer.tokens();
        const EpochCheck check = logged.m_epochs.check(owned.m_job.m_epochs.current(), had, had);
        const auto *back = std::get_if<DiscardAfter>(&check);
        ++m_counters.m_fenced;
        m_counters.m_tokensLost +=
                static_cast<std::uint64_t>(back == nullptr ? 0 : had - back->m_offset);
    }
    if (owned.m_mode == Mode::TakingOver)
        removeCopy(job);
    if (owned.m_mode == Mode::Normal || owned.m_mode == Mode::HandingOver)
        emit(RequestReattach{job, logged.m_owner.m_node});
    m_owned.erase(job);
}

void JobTable::reportOverruled(const OwnedJob &owned, const Job &logged)
{
    if (!owned.m_isProvisionalReported)
        return;
    ++m_counters.m_overruled;
    emit(ReportOverruled{owned.m_job.m_id, logged.m_owner.m_node});
}

void JobTable::updateFromLog(OwnedJob &owned, const Job &logged, TimePoint now)
{
    const JobId job = owned.m_job.m_id;
    if (logged.m_epochs.current() != owned.m_job.m_epochs.current())
        return;
    accept(owned);
    if (owned.m_mode == Mode::Normal && logged.m_answer.tokens() >= owned.m_checkpointTo
        && logged.isOver() == owned.m_job.isOver()) {
        releaseCopies(owned, {});
        owned.m_holder.reset();
    }
    if (!logged.isOver())
        return;
    if (owned.m_mode == Mode::TakingOver || owned.m_mode == Mode::HandingOver) {
        removeCopy(job);
        const bool isOwn = std::exchange(owned.m_mode, Mode::Normal) == Mode::HandingOver;
        if (isOwn)
            reportEnded(owned);
        m_owned.erase(job);
        return;
    }
    if (owned.m_mode != Mode::Normal)
        return;
    reportEnded(owned);
    const std::size_t bytes = logged.memory();
    m_finished.push_back({job, logged.m_epochs.current(), bytes, now});
    m_finishedBytes += bytes;
    m_owned.erase(job);
}

void JobTable::appendMissing(OwnedJob &owned, const FollowedLog &log, TimePoint now)
{
    const Job *logged = log.m_state.find(owned.m_job.m_id);
    if (owned.m_appended && now - owned.m_appended->m_changedAt >= m_settings.m_appendTimeout)
        owned.m_appended.reset();
    if (owned.m_appended && logged != nullptr)
        checkOffer(owned, *logged);
    if (!owned.m_appended) {
        if (owned.m_mode == Mode::Withdrawn && logged == nullptr)
            return;
        owned.m_appended = Replica{.m_changedAt = now};
        if (logged != nullptr) {
            owned.m_appended->m_epoch = logged->m_epochs.current();
            owned.m_appended->m_tokens = logged->m_answer.tokens();
            owned.m_appended->m_isOver = logged->isOver();
        } else {
            appendOffer(owned);
        }
    }
    const std::size_t before = m_commands.size();
    if (owned.m_mode == Mode::Withdrawn) {
        if (!owned.m_appended->m_isRemoved) {
            wire::JobRecord record;
            wire::JobRemoved removed;
            removed.job = owned.m_job.m_id.text();
            removed.epoch = owned.m_job.m_epochs.current();
            record.__set_removed(removed);
            appendRecord(owned, record);
            owned.m_appended->m_isRemoved = true;
        }
    } else {
        appendEarlierEpochs(owned);
        const bool isAll = owned.m_mode != Mode::Normal || owned.m_job.isOver();
        appendProgress(owned, isAll ? owned.m_job.m_answer.tokens() : owned.m_checkpointTo);
        appendFinish(owned);
        appendTakeover(owned);
    }
    // While nothing is on its way, nothing can be lost.
    const bool isSettled = logged != nullptr && owned.m_mode == Mode::Normal
                           && owned.m_appended->m_epoch == logged->m_epochs.current()
                           && owned.m_appended->m_tokens == logged->m_answer.tokens()
                           && owned.m_appended->m_isOver == logged->isOver();
    if (m_commands.size() != before || isSettled)
        owned.m_appended->m_changedAt = now;
}

void JobTable::appendRecord(OwnedJob &owned, const wire::JobRecord &record)
{
    emit(AppendRecord{*logOf(owned.m_job.m_id), record});
}

void JobTable::appendOffer(OwnedJob &owned)
{
    Job bare = owned.m_job;
    bare.m_answer = {};
    bare.m_phase = wire::JobPhase::Running;
    bare.m_finishReason.clear();
    wire::JobOffered offered;
    offered.snapshot = toWire(bare);
    wire::JobRecord record;
    record.__set_offered(offered);
    appendRecord(owned, record);
    owned.m_appended->m_epoch = owned.m_job.m_epochs.current();
    owned.m_appended->m_offeredEpoch = owned.m_appended->m_epoch;
}

/// The former owner and the successor may both append the offer. If the log contains the other one,
/// what this node appended after its own has no effect and is appended again, based on the log's.
void JobTable::checkOffer(OwnedJob &owned, const Job &logged)
{
    const std::int64_t offered = std::exchange(owned.m_appended->m_offeredEpoch, 0);
    if (offered == 0)
        return;
    const std::size_t index = indexOfEpoch(logged.m_epochs, offered);
    if (index == logged.m_epochs.starts().size())
        owned.m_appended.reset();
}

/// Hand-overs that were made while the platform was unreachable are not in the log yet. Appends
/// each of them as a takeover at the offset at which it happened.
void JobTable::appendEarlierEpochs(OwnedJob &owned)
{
    const auto &starts = owned.m_job.m_epochs.starts();
    for (std::size_t next = indexOfEpoch(owned.m_job.m_epochs, owned.m_appended->m_epoch) + 1;
         next < starts.size(); ++next) {
        appendProgress(owned, starts[next].m_offset);
        wire::JobTakeover takeover;
        takeover.job = owned.m_job.m_id.text();
        takeover.previousEpoch = owned.m_appended->m_epoch;
        takeover.epoch = starts[next].m_epoch;
        takeover.offset = starts[next].m_offset;
        takeover.newOwner = toWire(owned.m_job.m_owner);
        takeover.reason = "handed-over";
        wire::JobRecord record;
        record.__set_takeover(takeover);
        appendRecord(owned, record);
        owned.m_appended->m_epoch = starts[next].m_epoch;
    }
}

wire::JobProgress JobTable::progressOf(const Job &job, std::int64_t epoch, std::int64_t from,
                                       std::int64_t to) const
{
    AnswerText answer = job.m_answer;
    answer.truncateTo(to);
    wire::JobProgress progress;
    progress.job = job.m_id.text();
    progress.epoch = epoch;
    progress.fromTokens = from;
    progress.text = std::string(answer.textFrom(from));
    progress.tokenLengths = answer.encodedLengths(from);
    return progress;
}

void JobTable::appendProgress(OwnedJob &owned, std::int64_t tokens)
{
    Replica &appended = *owned.m_appended;
    while (appended.m_tokens < tokens) {
        const std::int64_t end = recordEnd(owned.m_job.m_answer, appended.m_tokens, tokens);
        wire::JobRecord record;
        record.__set_progress(progressOf(owned.m_job, appended.m_epoch, appended.m_tokens, end));
        ++m_counters.m_checkpointRecords;
        m_counters.m_checkpointBytes +=
                record.progress.text.size() + record.progress.tokenLengths.size();
        appendRecord(owned, record);
        appended.m_tokens = end;
    }
}

void JobTable::appendFinish(OwnedJob &owned)
{
    Replica &appended = *owned.m_appended;
    if (!owned.m_job.isOver() || appended.m_isOver)
        return;
    wire::JobFinished finished;
    finished.rest = progressOf(owned.m_job, appended.m_epoch, appended.m_tokens, appended.m_tokens);
    finished.phase = owned.m_job.m_phase;
    finished.finishReason = owned.m_job.m_finishReason;
    finished.wholeTokens = owned.m_job.m_answer.tokens();
    wire::JobRecord record;
    record.__set_finished(finished);
    appendRecord(owned, record);
    appended.m_isOver = true;
}

void JobTable::appendTakeover(OwnedJob &owned)
{
    if (owned.m_mode != Mode::TakingOver || owned.m_appended->m_isTakenOver
        || owned.m_job.isOver()) {
        return;
    }
    owned.m_appended->m_isTakenOver = true;
    const std::int64_t previous = owned.m_job.m_epochs.current();
    // When appended again, the takeover keeps its epoch, as both records may reach the log.
    if (owned.m_takeoverEpoch == 0)
        owned.m_takeoverEpoch = nextEpoch(previous, m_random());
    wire::JobTakeover takeover;
    takeover.job = owned.m_job.m_id.text();
    takeover.previousEpoch = previous;
    takeover.epoch = owned.m_takeoverEpoch;
    takeover.offset = owned.m_job.m_answer.tokens();
    takeover.newOwner = toWire(m_settings.m_self);
    takeover.reason = "owner-dead";
    wire::JobRecord record;
    record.__set_takeover(takeover);
    appendRecord(owned, record);
}

} // namespace gypsumdale
