#include "claim_attempts.hpp"

#include <algorithm> // any_of, min
#include <cstring> // memcpy
#include <utility> // move

namespace gypsumdale::detail {

ClaimTicket ClaimAttempts::add(ClaimAttempt attempt)
{
    attempt.m_ticket = newTicket();
    const AttemptId id = attempt.m_id;
    m_tickets[m_lastTicket] = id;
    m_attempts[id] = std::make_unique<ClaimAttempt>(std::move(attempt));
    return m_lastTicket;
}

ClaimAttempt *ClaimAttempts::find(ClaimTicket ticket)
{
    const auto found = m_tickets.find(ticket);
    return found == m_tickets.end() ? nullptr : find(found->second);
}

ClaimAttempt *ClaimAttempts::find(const AttemptId &id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second.get();
}

void ClaimAttempts::removeEnded()
{
    std::erase_if(m_attempts,
                  [](const auto &attempt) { return attempt.second->m_state == ClaimState::Ended; });
}

bool ClaimAttempts::hasAnyOf(ShardNumber shard) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [shard](const auto &attempt) { return attempt.second->m_shard == shard; });
}

std::optional<TimePoint> ClaimAttempts::nextDeadline() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint at) {
        next = next ? std::min(*next, at) : at;
    };
    for (const auto &[id, attempt] : m_attempts) {
        if (isWaiting(*attempt))
            consider(attempt->m_claimDeadline);
        if (attempt->m_state == ClaimState::Granted)
            consider(attempt->m_deadline);
    }
    return next;
}

bool isWaiting(const ClaimAttempt &attempt)
{
    return attempt.m_state == ClaimState::Refreshing || attempt.m_state == ClaimState::Claiming;
}

ShardNumber shardOfDigest(const Digest &key, ShardNumber shards)
{
    // Uses the end of the digest, as the hash tables use its start.
    std::uint64_t tail = 0;
    std::memcpy(&tail, key.data() + key.size() - sizeof(tail), sizeof(tail));
    return static_cast<ShardNumber>(tail % shards);
}

ClaimAttempt makeAttempt(const ClaimRequest &request, ClaimRole role,
                         const ClaimLedgerSettings &settings, Moment moment)
{
    ClaimAttempt attempt;
    attempt.m_id = request.m_attempt;
    attempt.m_role = role;
    attempt.m_node = settings.m_node;
    attempt.m_key = keyDigest(request.m_member, request.m_key);
    attempt.m_body = request.m_bodyDigest;
    attempt.m_shard = shardOfDigest(attempt.m_key, settings.m_shards);
    attempt.m_deadline = request.m_deadline;
    attempt.m_claimDeadline = std::min(request.m_deadline, moment.m_now + settings.m_claimTimeout);
    return attempt;
}

} // namespace gypsumdale::detail
