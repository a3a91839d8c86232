#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

namespace gypsumdale::detail {

/// Which node claims and which node sends.
enum class ClaimRole {
    Own, ///< This node does both.
    ForPeer, ///< This node claims, the peer sends.
    Forwarded, ///< A peer claims, this node sends.
};

/// State of an attempt.
enum class ClaimState {
    Refreshing, ///< The log is read to its end, to check whether the key is free again.
    Claiming, ///< The claim is being appended or forwarded.
    Granted, ///< May be started.
    Started, ///< Sent, or being sent.
    Dead, ///< Will never be sent, but the claim may still take effect.
    Ended, ///< Nothing remains to be done.
};

/// An attempt in which this node takes part, until nothing remains to be done for it.
struct ClaimAttempt
{
    AttemptId m_id;
    ClaimTicket m_ticket = 0;
    ClaimRole m_role = ClaimRole::Own;
    ClaimState m_state = ClaimState::Refreshing;
    /// The node that may send the attempt.
    NodeId m_node;
    ShardNumber m_shard = 0;
    Digest m_key{};
    Digest m_body{};
    TimePoint m_deadline;
    /// End of the wait for the claim: the deadline of the attempt, or sooner.
    TimePoint m_claimDeadline;
    std::optional<LogTicket> m_claim;
};

} // namespace gypsumdale::detail
