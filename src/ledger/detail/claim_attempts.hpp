#pragma once

#include "claim_attempt.hpp"

#include <gypsumdale/ledger/claim_ledger.hpp>

#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional

namespace gypsumdale::detail {

/// The attempts in which a node takes part, by id and, until they are decided, by ticket.
class ClaimAttempts
{
public:
    using ById = std::map<AttemptId, std::unique_ptr<ClaimAttempt>>;

    ClaimTicket newTicket() { return ++m_lastTicket; }
    /// Adds an attempt with a new id, under a new ticket.
    ClaimTicket add(ClaimAttempt attempt);
    ClaimAttempt *find(ClaimTicket ticket);
    ClaimAttempt *find(const AttemptId &id);
    /// Removes the ticket of a decided attempt.
    void closeTicket(ClaimTicket ticket) { m_tickets.erase(ticket); }
    void removeEnded();

    bool hasAnyOf(ShardNumber shard) const;
    /// Returns when the next attempt has waited too long, or reaches its deadline without being
    /// started.
    std::optional<TimePoint> nextDeadline() const;

    ById::const_iterator begin() const { return m_attempts.begin(); }
    ById::const_iterator end() const { return m_attempts.end(); }

private:
    ById m_attempts;
    std::map<ClaimTicket, AttemptId> m_tickets;
    ClaimTicket m_lastTicket = 0;
};

/// Returns whether the attempt waits for its claim.
bool isWaiting(const ClaimAttempt &attempt);

ShardNumber shardOfDigest(const Digest &key, ShardNumber shards);

/// Returns the attempt for a request.
ClaimAttempt makeAttempt(const ClaimRequest &request, ClaimRole role,
                         const ClaimLedgerSettings &settings, Moment moment);

} // namespace gypsumdale::detail
