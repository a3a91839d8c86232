#pragma once

#include <gypsumdale/ledger/claim_ledger.hpp>

#include <support/memory_log_platform.hpp>

#include <fmt/format.h>

#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// The logs of claims of all shards.
struct MemoryClaimPlatform
{
    LogAnswer perform(const ShardCommand &command)
    {
        return m_logs[command.m_shard].perform(command.m_command);
    }

    std::map<ShardNumber, MemoryLogPlatform> m_logs;
};

/// One node's ledger, for one lifetime of its process.
class ClaimNode
{
public:
    ClaimNode(const std::string &name, int life, ClaimLedgerBuilder builder)
        : m_name(fmt::format("{}#{}", name, life))
        , m_ledger(builder.build())
    {}

    ClaimRequest request(const std::string &member, const std::string &key, const std::string &body,
                         TimePoint deadline)
    {
        AttemptId attempt(fmt::format("{}-{}", m_name, ++m_attempts));
        return {MemberId(member), key, digestOf(body), std::move(attempt), deadline};
    }

    /// Carries out commands until none is left.
    void settle(MemoryClaimPlatform &platform, Moment moment)
    {
        while (const auto command = m_ledger.next(moment))
            m_ledger.onAnswer(command->m_shard, platform.perform(*command), moment);
    }

    /// Collects events and returns the result of a ticket, if it has one.
    std::optional<ClaimResult> result(ClaimTicket ticket)
    {
        for (const ClaimEvent &event : m_ledger.takeEvents()) {
            m_events.push_back(event);
            if (const auto *decided = std::get_if<ClaimDecided>(&event))
                m_results[decided->m_ticket] = decided->m_result;
        }
        const auto found = m_results.find(ticket);
        return found == m_results.end() ? std::nullopt : std::optional(found->second);
    }

    std::string m_name;
    ClaimLedger m_ledger;
    std::map<ClaimTicket, ClaimResult> m_results;
    std::vector<ClaimEvent> m_events;

private:
    int m_attempts = 0;
};

} // namespace gypsumdale::testing
