#include <gypsumdale/jobs/job_table.hpp>

#include "detail/rendezvous.hpp"

#include <algorithm> // any_of

namespace gypsumdale {

void JobTable::onPeers(std::vector<JobPeer> peers, TimePoint now)
{
    std::vector<ProcessRef> replaced;
    for (const JobPeer &peer : peers) {
        m_dead.erase(peer.m_process);
        const JobPeer *known = findPeer(peer.m_process.m_node);
        // A restarted process has lost what its predecessor had in memory.
        if (known != nullptr && known->m_process != peer.m_process)
            replaced.push_back(known->m_process);
    }
    m_peers = std::move(peers);
    for (const ProcessRef &process : replaced)
        onPeerDead(process, now);
    for (auto &[id, owned] : m_owned) {
        if (!owned.m_holder)
            continue;
        const JobPeer *holder = findPeer(owned.m_holder->m_node);
        if (holder != nullptr && holder->m_leaving)
            dropHolder(owned);
    }
}

void JobTable::onPeerDead(const ProcessRef &process, TimePoint now)
{
    m_dead.emplace(process, now);
    takeOverCopies(now);
    // The caretaker of a log may be dead too: its logs pass to the next caretaker.
    for (const auto &[dead, since] : m_dead) {
        if (isCaretaker(logOf(dead)))
            follow(logOf(dead), now);
    }
    for (auto &[log, followed] : m_logs)
        followed.m_takeOverAt = now + m_settings.m_successorDelay;
    for (auto &[id, owned] : m_owned) {
        if (owned.m_holder && owned.m_holder->m_node == process.m_node)
            dropHolder(owned);
    }
}

void JobTable::onLogsListed(const std::vector<JobLogId> &logs, TimePoint now)
{
    for (const JobLogId &log : logs) {
        const std::optional<ProcessRef> origin = processOf(log);
        if (origin && detectDeath(*origin, now) && isCaretaker(log))
            follow(log, now).m_takeOverAt = now;
    }
}

bool JobTable::isLive(const ProcessRef &process) const
{
    const JobPeer *peer = findPeer(process.m_node);
    return process == m_settings.m_self || (peer != nullptr && peer->m_process == process);
}

/// Returns whether a process is dead, even if it died before this node knew of it: it was reported
/// dead, its node runs another process, or it has been missing for longer than the orphan delay.
/// Records a death found here.
bool JobTable::detectDeath(const ProcessRef &process, TimePoint now)
{
    if (m_dead.contains(process))
        return true;
    if (isLive(process)) {
        m_missingSince.erase(process);
        return false;
    }
    const TimePoint since = m_missingSince.try_emplace(process, now).first->second;
    const bool isReplaced =
            process.m_node == m_settings.m_self.m_node || findPeer(process.m_node) != nullptr;
    if (!isReplaced && now - since < m_settings.m_orphanDelay)
        return false;
    m_missingSince.erase(process);
    m_dead.emplace(process, now);
    return true;
}

/// Returns whether this node takes over the jobs of a log: the process that created the log does,
/// or after its death the live node that rendezvous hashing prefers. If nodes disagree on who is
/// alive, several may try, and the log decides.
bool JobTable::isCaretaker(const JobLogId &log) const
{
    if (m_notice)
        return false;
    const std::optional<ProcessRef> origin = processOf(log);
    if (!origin || *origin == m_settings.m_self)
        return origin.has_value();
    const std::uint64_t own = detail::rendezvousWeight(log.text(), m_settings.m_self.m_node);
    return !std::any_of(m_peers.begin(), m_peers.end(), [&](const JobPeer &peer) {
        const bool isDead = m_dead.contains(peer.m_process);
        if (isDead || peer.m_leaving)
            return false;
        return peer.m_process == *origin
               || detail::rendezvousWeight(log.text(), peer.m_process.m_node) > own;
    });
}

void JobTable::takeOver(const Job &job, TimePoint now)
{
    OwnedJob owned;
    owned.m_job = job;
    owned.m_mode = Mode::TakingOver;
    owned.m_isAccepted = true;
    m_owned.emplace(job.m_id, std::move(owned));
    advanceJob(job.m_id, now);
}

/// Takes over the copies of dead owners. Called repeatedly, as a copy may arrive from an owner that
/// is already known to be dead.
void JobTable::takeOverCopies(TimePoint now)
{
    std::vector<JobId> orphaned;
    for (const auto &[id, owner] : m_copyOwners) {
        if (m_dead.contains(owner) && m_copies.find(id) != nullptr && !m_owned.contains(id))
            orphaned.push_back(id);
    }
    if (m_notice)
        return;
    // takeOver() drops a copy that the log has superseded.
    for (const JobId &id : orphaned)
        takeOver(*m_copies.find(id), now);
}

void JobTable::takeOverLog(const JobLogId &log, FollowedLog &followed, TimePoint now)
{
    followed.m_takeOverAt.reset();
    if (!isCaretaker(log))
        return;
    std::vector<JobId> orphaned;
    for (const auto &[id, job] : followed.m_state.jobs()) {
        if (job.isOver() || isLive(job.m_owner) || m_owned.contains(id))
            continue;
        if (detectDeath(job.m_owner, now))
            orphaned.push_back(id);
        else
            followed.m_takeOverAt = now + m_settings.m_successorDelay;
    }
    for (const JobId &id : orphaned)
        takeOver(*followed.m_state.find(id), now);
}

void JobTable::tickLogs(TimePoint now)
{
    std::vector<JobLogId> idle;
    for (auto &[log, followed] : m_logs) {
        if (const auto origin = processOf(log); origin && isLive(*origin))
            followed.m_originSeenAt = now;
        const bool isDue = followed.m_takeOverAt && now >= *followed.m_takeOverAt;
        // After an outage, live owners and holders first get time to append their records.
        const bool isSettled =
                m_platformUp && now - m_platformUpSince >= m_settings.m_successorDelay;
        if (isDue && isSettled && followed.m_isCaughtUp)
            takeOverLog(log, followed, now);
        const bool isUsed = log == m_ownLog || followed.m_takeOverAt || !m_platformUp
                            || now - followed.m_lastUsedAt < m_settings.m_logIdleTimeout;
        if (!isUsed)
            idle.push_back(log);
    }
    for (const JobLogId &log : idle) {
        emit(UnfollowLog{log});
        m_logs.erase(log);
    }
    const auto isForgotten = [&](const auto &entry) {
        return now - entry.second > m_settings.m_maximumJobAge + m_settings.m_retention;
    };
    std::erase_if(m_dead, isForgotten);
    std::erase_if(m_missingSince, isForgotten);
}

} // namespace gypsumdale
