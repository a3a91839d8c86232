#include <gypsumdale/jobs/job_table.hpp>

#include "detail/rendezvous.hpp"

#include <algorithm> // any_of, find_if, min, none_of

namespace gypsumdale {

namespace {

/// Returns the possible peer that rendezvous hashing prefers for a job, or no node.
template <typename IsPossible>
NodeId choosePeer(const std::vector<JobPeer> &peers, const JobId &job, const IsPossible &isPossible)
{
    NodeId best;
    std::uint64_t bestWeight = 0;
    for (const JobPeer &peer : peers) {
        if (!isPossible(peer))
            continue;
        const NodeId &node = peer.m_process.m_node;
        const std::uint64_t weight = detail::rendezvousWeight(job.text(), node);
        if (best.isEmpty() || weight > bestWeight) {
            best = node;
            bestWeight = weight;
        }
    }
    return best;
}

/// Sends of one hand-over to one successor before another one is tried.
constexpr int handOverSends = 3;

} // namespace

const JobPeer *JobTable::findPeer(const NodeId &node) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&node](const JobPeer &peer) {
        return peer.m_process.m_node == node;
    });
    return found == m_peers.end() ? nullptr : &*found;
}

NodeId JobTable::chooseHolder(const OwnedJob &owned) const
{
    return choosePeer(m_peers, owned.m_job.m_id, [&](const JobPeer &peer) {
        // A peer in the same data centre would go with it.
        return peer.m_dataCentre != m_settings.m_dataCentre && !peer.m_leaving
               && !m_dead.contains(peer.m_process)
               && !owned.m_holdersTried.contains(peer.m_process.m_node);
    });
}

NodeId JobTable::chooseSuccessor(const OwnedJob &owned) const
{
    return choosePeer(m_peers, owned.m_job.m_id, [&](const JobPeer &peer) {
        const bool isOutside = peer.m_dataCentre != m_settings.m_dataCentre;
        return (isOutside || m_notice != ReclaimScope::OwnDataCentre) && !peer.m_leaving
               && !m_dead.contains(peer.m_process)
               && !owned.m_successorsTried.contains(peer.m_process.m_node);
    });
}

bool JobTable::wantsHolder(const OwnedJob &owned, TimePoint now) const
{
    if (owned.m_mode != Mode::Normal)
        return false;
    if (!m_platformUp)
        return true;
    const bool isWaiting =
            !owned.m_isAccepted && now - owned.m_offeredAt >= m_settings.m_peerFallbackDelay;
    return isWaiting || owned.m_holder.has_value();
}

void JobTable::syncToHolder(OwnedJob &owned, TimePoint now)
{
    if (owned.m_holder && owned.m_holder->m_isAsked
        && now - owned.m_holder->m_askedAt >= m_settings.m_peerTimeout) {
        failHolder(owned);
    }
    if (!wantsHolder(owned, now))
        return;
    if (!owned.m_holder) {
        const NodeId node = chooseHolder(owned);
        if (node.isEmpty()) {
            owned.m_holdersTried.clear();
            return;
        }
        owned.m_holder = Holder{.m_node = node};
        owned.m_copies.insert(node);
    }
    Holder &holder = *owned.m_holder;
    if (holder.m_isAsked)
        return;
    if (!m_platformUp && holder.m_isOver && owned.m_job.isOver())
        tellByHolder(owned);
    wire::JobRecord record;
    if (!holder.m_isHeld) {
        wire::JobOffered offered;
        offered.snapshot = toWire(owned.m_job);
        record.__set_offered(offered);
    } else if (owned.m_job.isOver() && !holder.m_isOver) {
        wire::JobFinished finished;
        finished.rest = progressOf(owned.m_job, owned.m_job.m_epochs.current(), holder.m_tokens,
                                   owned.m_job.m_answer.tokens());
        finished.phase = owned.m_job.m_phase;
        finished.finishReason = owned.m_job.m_finishReason;
        finished.wholeTokens = owned.m_job.m_answer.tokens();
        record.__set_finished(finished);
    } else if (holder.m_tokens < owned.m_checkpointTo) {
        record.__set_progress(progressOf(owned.m_job, owned.m_job.m_epochs.current(),
                                         holder.m_tokens, owned.m_checkpointTo));
    } else {
        return;
    }
    sendToHolder(owned, record, now);
}

void JobTable::sendToHolder(OwnedJob &owned, const wire::JobRecord &record, TimePoint now)
{
    owned.m_holder->m_isAsked = true;
    owned.m_holder->m_askedAt = now;
    wire::JobHold hold;
    hold.owner = toWire(m_settings.m_self);
    hold.record = record;
    emit(HoldAtPeer{owned.m_holder->m_node, hold});
}

void JobTable::failHolder(OwnedJob &owned)
{
    // Its copy is kept as long as no other one is: it may be the only one outside this data centre.
    owned.m_holdersTried.insert(owned.m_holder->m_node);
    owned.m_holder.reset();
}

ReleaseAtPeer JobTable::releaseOf(const NodeId &holder, const JobId &job) const
{
    wire::JobRelease release;
    release.job = job.text();
    release.__set_owner(toWire(m_settings.m_self));
    return {holder, release};
}

void JobTable::releaseCopies(OwnedJob &owned, const NodeId &except)
{
    for (const NodeId &node : owned.m_copies) {
        if (node != except)
            emit(releaseOf(node, owned.m_job.m_id));
    }
    const bool isExceptHeld = owned.m_copies.contains(except);
    owned.m_copies.clear();
    if (isExceptHeld)
        owned.m_copies.insert(except);
}

void JobTable::onHoldAnswered(const NodeId &peer, const wire::JobHoldAnswer &answer, TimePoint now)
{
    const JobId job(answer.job);
    OwnedJob *owned = findOwned(job);
    const bool isWanted = owned != nullptr && owned->m_mode == Mode::Normal && owned->m_holder
                          && owned->m_holder->m_node == peer;
    if (!isWanted) {
        const bool isCopy = owned != nullptr && owned->m_copies.contains(peer);
        const bool isHeld = owned != nullptr && owned->m_holder && owned->m_holder->m_isHeld;
        if (answer.held && !isCopy) {
            // The answer to a question given up on: the copy would be kept for nobody.
            emit(releaseOf(peer, job));
            return;
        }
        const JobPeer *holder = findPeer(peer);
        const bool isLiving =
                holder != nullptr && !holder->m_leaving && !m_dead.contains(holder->m_process);
        if (!answer.held || !isLiving || isHeld || owned->m_mode != Mode::Normal)
            return;
        // A slow peer that was given up on holds the job before the next one does. One that died
        // since must not count: its answer may still come, and the copy is gone.
        owned->m_holder = Holder{.m_node = peer};
    }
    Holder &holder = *owned->m_holder;
    if (!answer.held || answer.epoch != owned->m_job.m_epochs.current()) {
        failHolder(*owned);
        syncToHolder(*owned, now);
        return;
    }
    holder.m_isAsked = false;
    holder.m_isHeld = true;
    holder.m_tokens = std::min(answer.heldTokens, owned->m_job.m_answer.tokens());
    holder.m_isOver = answer.heldFinished;
    owned->m_holdersTried.clear();
    releaseCopies(*owned, peer);
    accept(*owned);
    syncToHolder(*owned, now);
}

void JobTable::onPeerFailed(const NodeId &peer, TimePoint now)
{
    for (const JobId &id : ownedIds()) {
        OwnedJob &owned = m_owned.at(id);
        if (owned.m_holder && owned.m_holder->m_node == peer && owned.m_holder->m_isAsked) {
            failHolder(owned);
            syncToHolder(owned, now);
        }
        if (owned.m_successor && owned.m_successor->m_node == peer) {
            owned.m_successorsTried.insert(peer);
            owned.m_successor.reset();
            driveHandOver(owned, now);
        }
    }
}

void JobTable::onHoldRequest(const NodeId &peer, const wire::JobHold &hold, TimePoint /*now*/)
{
    const JobId job = jobOf(hold.record);
    const Job *copy = m_copies.find(job);
    const bool isRefused = m_notice || m_owned.contains(job)
                           || (copy == nullptr && m_copyOwners.size() >= m_settings.m_maximumJobs);
    if (!isRefused) {
        if (hold.record.__isset.offered && replacesCopy(hold.record.offered.snapshot))
            m_copies.forget(job);
        const RecordEffect effect = m_copies.apply(hold.record);
        if (hold.record.__isset.offered && effect == RecordEffect::Applied)
            m_copyOwners[job] = fromWire(hold.owner);
    }
    copy = isRefused ? nullptr : m_copies.find(job);
    const auto owner = m_copyOwners.find(job);
    wire::JobHoldAnswer answer;
    answer.job = job.text();
    answer.held =
            copy != nullptr && owner != m_copyOwners.end() && owner->second == fromWire(hold.owner);
    if (copy != nullptr) {
        answer.epoch = copy->m_epochs.current();
        answer.heldTokens = copy->m_answer.tokens();
        answer.heldFinished = copy->isOver();
    }
    emit(AnswerHold{peer, answer});
}

/// Tells whether an owner's snapshot is at least as new as the copy of the job. Messages may come
/// late: one of the owner before behind one of its successor, or an old one behind a newer.
bool JobTable::replacesCopy(const wire::JobSnapshot &snapshot) const
{
    const Job *copy = m_copies.find(JobId(snapshot.job));
    if (copy == nullptr || snapshot.epochs.empty())
        return false;
    const std::int64_t epoch = snapshot.epochs.back().epoch;
    if (epoch != copy->m_epochs.current())
        return epoch > copy->m_epochs.current();
    const bool isShorter = snapshot.text.size() < copy->m_answer.text().size();
    return !isShorter && !copy->isOver();
}

void JobTable::onReleaseRequest(const NodeId &peer, const wire::JobRelease &release,
                                TimePoint /*now*/)
{
    const JobId job(release.job);
    const auto owner = m_copyOwners.find(job);
    // A former owner's release may come late; the copy is its successor's by then. One of the same
    // node's next process knows nothing of the job.
    if (owner == m_copyOwners.end() || owner->second.m_node != peer)
        return;
    if (release.__isset.owner && fromWire(release.owner) != owner->second)
        return;
    forgetCopy(job);
}

void JobTable::forgetCopy(const JobId &job)
{
    m_copies.forget(job);
    m_copyOwners.erase(job);
}

/// A holder that leaves sends its owners away to other holders; for an owner that is dead it finds
/// another one itself.
void JobTable::transferCopies()
{
    for (const auto &[id, process] : m_copyOwners) {
        const Job *copy = m_copies.find(id);
        if (copy == nullptr)
            continue;
        if (!m_dead.contains(process)) {
            wire::JobHoldAnswer answer;
            answer.job = id.text();
            answer.epoch = copy->m_epochs.current();
            emit(AnswerHold{process.m_node, answer});
            continue;
        }
        OwnedJob standIn;
        standIn.m_job.m_id = id;
        const NodeId node = chooseHolder(standIn);
        if (node.isEmpty())
            continue;
        wire::JobOffered offered;
        offered.snapshot = toWire(*copy);
        wire::JobHold hold;
        hold.owner = toWire(process);
        hold.record.__set_offered(offered);
        emit(HoldAtPeer{node, hold});
    }
}

void JobTable::beginHandOver(OwnedJob &owned, TimePoint now)
{
    cancelAttempt(owned);
    owned.m_mode = Mode::HandingOver;
    owned.m_successor.reset();
    owned.m_successorsTried.clear();
    driveHandOver(owned, now);
    service(owned.m_job.m_id, now);
}

void JobTable::driveHandOver(OwnedJob &owned, TimePoint now)
{
    std::optional<Successor> &successor = owned.m_successor;
    if (successor && now - successor->m_sentAt < m_settings.m_peerTimeout)
        return;
    if (successor && successor->m_sent >= handOverSends) {
        // It may have taken the job all the same. Then two nodes run it, each in an epoch of its
        // own, until the log takes the one whose takeover comes first.
        owned.m_successorsTried.insert(successor->m_node);
        successor.reset();
    }
    if (!successor) {
        const NodeId node = chooseSuccessor(owned);
        if (node.isEmpty()) {
            owned.m_successorsTried.clear();
            return;
        }
        successor = Successor{.m_node = node};
    }
    ++successor->m_sent;
    successor->m_sentAt = now;
    wire::JobHandOver handOver;
    handOver.snapshot = toWire(owned.m_job);
    emit(HandOver{successor->m_node, handOver});
}

void JobTable::onHandOverAnswered(const NodeId &peer, const wire::JobHandOverAnswer &answer,
                                  TimePoint now)
{
    const JobId job(answer.job);
    OwnedJob *owned = findOwned(job);
    if (owned == nullptr || owned->m_mode != Mode::HandingOver)
        return;
    if (!answer.taken) {
        if (owned->m_successor && owned->m_successor->m_node == peer) {
            owned->m_successorsTried.insert(peer);
            owned->m_successor.reset();
            driveHandOver(*owned, now);
        }
        return;
    }
    ++m_counters.m_handedOver;
    m_handedTo[job] = {peer, owned->m_job.m_request.m_member};
    releaseCopies(*owned, peer);
    emit(RequestReattach{job, peer});
    m_owned.erase(job);
}

void JobTable::onHandOverRequest(const NodeId &peer, const wire::JobHandOver &handOver,
                                 TimePoint now)
{
    const JobId job(handOver.snapshot.job);
    wire::JobHandOverAnswer answer;
    answer.job = job.text();
    answer.taken = hasMovedOn(handOver.snapshot);
    OwnedJob *owned = findOwned(job);
    const bool isOwner = owned != nullptr && owned->m_mode != Mode::TakingOver;
    if (isOwner && !handOver.snapshot.epochs.empty()) {
        // A hand-over may come twice. It may also come back from the node that this one has just
        // handed the job to, when that is to be reclaimed too: said to be taken, the job would be
        // dropped by both. What is here counts only if it goes on from what is offered; a finished
        // job has no new epoch to tell by, and counts only where it stays.
        const auto &starts = owned->m_job.m_epochs.starts();
        const std::int64_t offered = handOver.snapshot.epochs.back().epoch;
        const bool isKnown = std::any_of(
                starts.begin(), starts.end(),
                [offered](const EpochHistory::Start &start) { return start.m_epoch == offered; });
        const bool isSame = offered == owned->m_job.m_epochs.current();
        answer.taken = isKnown && !(isSame && owned->m_mode == Mode::HandingOver);
        answer.epoch = owned->m_job.m_epochs.current();
    }
    if (!answer.taken && !isOwner && !m_notice) {
        Result<Job> received = fromWire(handOver.snapshot);
        answer.taken = succeeded(received);
        if (answer.taken) {
            adopt(valueOf(std::move(received)), now);
            answer.epoch = m_owned.at(job).m_job.m_epochs.current();
        }
    }
    emit(AnswerHandOver{peer, answer});
    service(job, now);
}

/// Tells whether the log already knows of a later owner or of the end. A hand-over may be delivered
/// again long after it was done.
bool JobTable::hasMovedOn(const wire::JobSnapshot &snapshot) const
{
    const std::optional<JobLogId> log = logOf(JobId(snapshot.job));
    if (!log)
        return false;
    const auto followed = m_logs.find(*log);
    if (followed == m_logs.end())
        return false;
    const JobLogState &state = followed->second.m_state;
    const Job *logged = state.find(JobId(snapshot.job));
    if (logged == nullptr)
        return state.wasRemoved(JobId(snapshot.job));
    const std::int64_t current = logged->m_epochs.current();
    return logged->isOver()
           || std::none_of(
                   snapshot.epochs.begin(), snapshot.epochs.end(),
                   [current](const wire::JobEpochStart &start) { return start.epoch == current; });
}

void JobTable::adopt(Job job, TimePoint now)
{
    const JobId id = job.m_id;
    forgetCopy(id);
    m_owned.erase(id);
    OwnedJob owned;
    owned.m_job = std::move(job);
    owned.m_job.m_owner = m_settings.m_self;
    owned.m_isAccepted = true;
    owned.m_checkpointTo = owned.m_job.m_answer.tokens();
    ++m_counters.m_takenOver;
    OwnedJob &added = m_owned.emplace(id, std::move(owned)).first->second;
    if (added.m_job.isOver())
        return;
    // The epoch is drawn here: a hand-over delivered twice, or to two nodes, never gives two
    // generations the same one.
    added.m_job.m_epochs.begin(nextEpoch(added.m_job.m_epochs.current(), m_random()),
                               added.m_job.m_answer.tokens());
    startAttempt(added, now);
}

} // namespace gypsumdale
