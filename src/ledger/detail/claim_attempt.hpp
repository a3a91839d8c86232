#pragma once

#include <gypsumdale/ledger/claim_messages.hpp>

namespace gypsumdale::detail {

/// Who claims and who sends.
enum class ClaimRole {
    Own, ///< This node does both.
    ForPeer, ///< This node claims, the peer sends.
    Forwarded, ///< A peer claims, this node sends.
};

enum class ClaimState {
    Refreshing, ///< Waits for the end of the log, to see whether the key is free again.
    Claiming, ///< Its claim is on its way into the log, or forwarded.
    Granted, ///< May be started.
    Started, ///< Was sent, or is being sent.
    Dead, ///< Will never be sent, but its claim may still take effect.
    Ended, ///< Nothing is left to do.
};

/// One attempt that this node has to do with, until nothing of it is left to come.
struct ClaimAttempt
{
    AttemptId m_id;
    ClaimTicket m_ticket = 0;
    ClaimRole m_role = ClaimRole::Own;
    ClaimState m_state = ClaimState::Refreshing;
    /// The node that would send it.
    NodeId m_node;
    ShardNumber m_shard = 0;
    Digest m_key{};
    Digest m_body{};
    TimePoint m_deadline;
    /// When waiting for the claim ends: the deadline, or sooner.
    TimePoint m_giveUpAt;
    std::optional<LogTicket> m_claim;
};

} // namespace gypsumdale::detail
