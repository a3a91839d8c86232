#include <gypsumdale/jobs/job_table.hpp>

#include "detail/rendezvous.hpp"

#include <algorithm> // any_of, find_if, min, none_of

namespace gypsumdale {

namespace {

/// Returns the peer that rendezvous hashing prefers for a job among the possible ones, or an empty
/// id.
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

/// Attempts to hand a job over to one successor before another one is tried.
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
        // A peer in the same data centre would be lost together with it.
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

bool JobTable::needsHolder(const OwnedJob &owned, TimePoint now) const
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
    if (owned.m_holder && owned.m_holder->m_isRequestPending
        && now - owned.m_holder->m_requestedAt >= m_settings.m_peerTimeout) {
        dropHolder(owned);
    }
    if (!needsHolder(owned, now))
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
    if (holder.m_isRequestPending)
        return;
    if (!m_platformUp && holder.m_isOver && owned.m_job.isOver())
        reportEndedByHolder(owned);
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
    owned.m_holder->m_isRequestPending = true;
    owned.m_holder->m_requestedAt = now;
    wire::JobHold hold;
    hold.owner = toWire(m_settings.m_self);
    hold.record = record;
    emit(HoldAtPeer{owned.m_holder->m_node, hold});
}

void JobTable::dropHolder(OwnedJob &owned)
{
    // The peer keeps its copy until another one exists, as it may be the only one outside this data
    // centre.
    owned.m_holdersTried.insert(owned.m_holder->m_node);
    owned.m_holder.reset();
}

ReleaseAtPeer JobTable::makeRelease(const NodeId &holder, const JobId &job) const
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
            emit(makeRelease(node, owned.m_job.m_id));
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
            // The request was given up; without a release, the copy would be kept for nobody.
            emit(makeRelease(peer, job));
            return;
        }
        const JobPeer *holder = findPeer(peer);
        const bool isLivePeer =
                holder != nullptr && !holder->m_leaving && !m_dead.contains(holder->m_process);
        if (!answer.held || !isLivePeer || isHeld || owned->m_mode != Mode::Normal)
            return;
        // A slow peer whose request was given up may still become the holder before the next peer
        // answers. A peer that died in the meantime must not, as its answer may still arrive
        // although the copy is gone.
        owned->m_holder = Holder{.m_node = peer};
    }
    Holder &holder = *owned->m_holder;
    if (!answer.held || answer.epoch != owned->m_job.m_epochs.current()) {
        dropHolder(*owned);
        syncToHolder(*owned, now);
        return;
    }
    holder.m_isRequestPending = false;
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
        if (owned.m_holder && owned.m_holder->m_node == peer
            && owned.m_holder->m_isRequestPending) {
            dropHolder(owned);
            syncToHolder(owned, now);
        }
        if (owned.m_successor && owned.m_successor->m_node == peer) {
            owned.m_successorsTried.insert(peer);
            owned.m_successor.reset();
            advanceHandOver(owned, now);
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

/// Returns whether an owner's snapshot is at least as new as the copy of the job. Messages may
/// arrive out of order: one of a former owner after one of its successor, or an older one after a
/// newer one.
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
    // The release of a former owner may arrive late, when the copy already belongs to its
    // successor. Likewise, a later process of the same node has no knowledge of the job.
    if (owner == m_copyOwners.end() || owner->second.m_node != peer)
        return;
    if (release.__isset.owner && fromWire(release.owner) != owner->second)
        return;
    removeCopy(job);
}

void JobTable::removeCopy(const JobId &job)
{
    m_copies.forget(job);
    m_copyOwners.erase(job);
}

/// Passes on the held copies before this node leaves: a live owner is asked to choose another
/// holder, and the copies of a dead owner are sent to another holder from here.
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
        OwnedJob placeholder;
        placeholder.m_job.m_id = id;
        const NodeId node = chooseHolder(placeholder);
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
    advanceHandOver(owned, now);
    advanceJob(owned.m_job.m_id, now);
}

void JobTable::advanceHandOver(OwnedJob &owned, TimePoint now)
{
    std::optional<Successor> &successor = owned.m_successor;
    if (successor && now - successor->m_sentAt < m_settings.m_peerTimeout)
        return;
    if (successor && successor->m_sent >= handOverSends) {
        // The successor may have accepted the job all the same. Then two nodes run it, each in its
        // own epoch, until the log applies the takeover that comes first.
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
            advanceHandOver(*owned, now);
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
    answer.taken = isSuperseded(handOver.snapshot);
    OwnedJob *owned = findOwned(job);
    const bool isOwner = owned != nullptr && owned->m_mode != Mode::TakingOver;
    if (isOwner && !handOver.snapshot.epochs.empty()) {
        // A hand-over may arrive twice. It may also come back from the node to which this node has
        // just handed the job over, if that one is to be reclaimed too; if both confirmed it, both
        // would drop the job. Hence a job that is owned here confirms a hand-over only if it
        // continues from the offered state. An ended job gets no new epoch that would show this, so
        // that it confirms the offered epoch only while it is not being handed over itself.
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
            adoptHandedOver(valueOf(std::move(received)), now);
            answer.epoch = m_owned.at(job).m_job.m_epochs.current();
        }
    }
    emit(AnswerHandOver{peer, answer});
    advanceJob(job, now);
}

/// Returns whether the log already has a later owner or the end of the job. A hand-over may be
/// delivered again long after it was done.
bool JobTable::isSuperseded(const wire::JobSnapshot &snapshot) const
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

void JobTable::adoptHandedOver(Job job, TimePoint now)
{
    const JobId id = job.m_id;
    removeCopy(id);
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
    // The receiver chooses the epoch, so that a hand-over that is delivered twice, or to two nodes,
    // never gives two generations the same one.
    added.m_job.m_epochs.begin(nextEpoch(added.m_job.m_epochs.current(), m_random()),
                               added.m_job.m_answer.tokens());
    startAttempt(added, now);
}

} // namespace gypsumdale
