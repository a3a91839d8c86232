#pragma once

#include "claim_attempt.hpp"

#include <gypsumdale/ledger/claim_ledger.hpp>

#include <map> // map
#include <memory> // unique_ptr
#include <optional> // optional

namespace gypsumdale::detail {

/// The attempts that a node has to do with, by name and, until they are decided, by ticket.
class ClaimAttempts
{
public:
    using ByName = std::map<AttemptId, std::unique_ptr<ClaimAttempt>>;

    ClaimTicket newTicket() { return ++m_lastTicket; }
    /// Adds one whose name is new, under a new ticket.
    ClaimTicket add(ClaimAttempt attempt);
    ClaimAttempt *find(ClaimTicket ticket);
    ClaimAttempt *find(const AttemptId &id);
    /// The caller was told; the ticket means nothing any more.
    void closeTicket(ClaimTicket ticket) { m_tickets.erase(ticket); }
    void forgetEnded();

    bool hasAnyOf(ShardNumber shard) const;
    /// When the next one has waited too long, or is granted and not started in time.
    std::optional<TimePoint> nextDeadline() const;

    ByName::const_iterator begin() const { return m_attempts.begin(); }
    ByName::const_iterator end() const { return m_attempts.end(); }

private:
    ByName m_attempts;
    std::map<ClaimTicket, AttemptId> m_tickets;
    ClaimTicket m_lastTicket = 0;
};

/// Tells whether the attempt waits for its claim.
bool isWaiting(const ClaimAttempt &attempt);

ShardNumber shardOfDigest(const Digest &key, ShardNumber shards);

/// The attempt that a request begins.
ClaimAttempt makeAttempt(const ClaimRequest &request, ClaimRole role,
                         const ClaimLedgerSettings &settings, Moment moment);

} // namespace gypsumdale::detail
