#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/observe/log.hpp>

#include <entry_types.h>

#include <cstddef> // size_t
#include <functional> // function
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// Sends a frame to a peer and returns the message in its answer, or nothing if that is empty, as
/// of a peer of an earlier release. Suspends the calling fiber. Errors: those of the channel, which
/// are logged as `event`, and PeerMalformed.
Result<std::optional<entrywire::EntryExchange>> callPeer(EntryContext &context,
                                                         const KnownPeerPointer &peer,
                                                         const std::string &frame, LogEvent event);

/// Answers to one question, in the order in which they came.
struct PeerAnswers
{
    std::vector<entrywire::EntryExchange> m_answers;
    /// Number of peers that didn't answer in time.
    std::size_t m_missing = 0;
};

/// How a question to several peers is asked.
struct PeerQuestion
{
    entrywire::EntryExchange m_message;
    /// Longest wait for the answers.
    Duration m_wait{};
    /// Returns whether no further answer is needed; empty if all are.
    std::function<bool(const entrywire::EntryExchange &answer)> m_isEnough;
    /// What is logged if the question can't be sent to a peer.
    LogEvent m_failureEvent;
};

/// Asks peers, all at once, and returns what they answer. Suspends the calling fiber.
PeerAnswers askPeers(EntryContext &context, const std::vector<KnownPeerPointer> &peers,
                     const PeerQuestion &question);

/// Sends a message to peers whose answers say nothing. Doesn't wait.
void tellPeers(EntryContext &context, const std::vector<KnownPeerPointer> &peers,
               const entrywire::EntryExchange &message, LogEvent failureEvent);

} // namespace gypsumdale
