#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/ledger/log_messages.hpp>
#include <gypsumdale/ledger/outcome.hpp>

#include <array> // array
#include <cstdint> // uint8_t, uint32_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// The first 16 bytes of a SHA-256. Callers choose keys and may be hostile, so that a fast hash,
/// for which collisions can be made, will not do.
using Digest = std::array<std::uint8_t, 16>;

/// Returns the digest of any bytes. Linear.
Digest digestOf(std::string_view bytes);

/// Returns the digest under which a member's idempotency key is filed. Keys of two members never
/// meet: the length of the member's name is part of what is hashed. Linear.
Digest keyDigest(const MemberId &member, std::string_view key);

/// Names one shard of the claims, counted from 0.
using ShardNumber = std::uint32_t;

/// Names one attempt to run a request. Unique for all time: it holds the process's life and a
/// counter, and is never used for a second begin().
using AttemptId = Id<struct AttemptIdTag>;

/// One call of begin().
using ClaimTicket = std::uint64_t;

/// A keyed request that wants to run.
struct ClaimRequest
{
    MemberId m_member;
    std::string m_key;
    Digest m_bodyDigest{};
    AttemptId m_attempt;
    /// The attempt is sent before this or never.
    TimePoint m_deadline;
};

/// The caller may send this attempt, once, after ClaimLedger::start() said so.
struct Granted
{
    AttemptId m_attempt;
};

/// An answer as the ledger keeps it.
struct StoredAnswer
{
    int m_status = 0;
    std::string m_contentType;
    /// Nothing if it was above the limit.
    std::optional<std::string> m_body;
};

/// An earlier attempt with this key and body has run.
struct AlreadyDone
{
    AttemptId m_attempt;
    StoredAnswer m_answer;
};

/// An earlier attempt with this key runs, or may have run: it is not known whether it did.
struct InProgressOrUnknown
{
    AttemptId m_attempt;
};

/// The key came with another body before (ErrorId::KeyReusedWithOtherBody). Nothing was run.
struct KeyReused
{};

enum class NotRunReason {
    PlatformOut,
    DeadlinePassed,
    LogCorrupt,
    Overloaded,
};

inline constexpr NameTable<NotRunReason, 4> notRunReasonNames = {{
        {NotRunReason::PlatformOut, "platform-out"},
        {NotRunReason::DeadlinePassed, "deadline-passed"},
        {NotRunReason::LogCorrupt, "log-corrupt"},
        {NotRunReason::Overloaded, "overloaded"},
}};

/// The attempt will never be sent.
struct NotRun
{
    NotRunReason m_reason = NotRunReason::PlatformOut;
    Duration m_retryAfter{};
};

using ClaimResult = std::variant<Granted, AlreadyDone, InProgressOrUnknown, KeyReused, NotRun>;

/// A begin() has its result; each ticket gets exactly one.
struct ClaimDecided
{
    ClaimTicket m_ticket = 0;
    ClaimResult m_result;
};

/// A finished attempt's outcome now stands in the platform, so that a resubmission anywhere finds
/// it.
struct OutcomeRecorded
{
    AttemptId m_attempt;
};

/// Something an operator should see: segments gone unread, or a corrupt one.
struct ShardProblem
{
    ShardNumber m_shard = 0;
    std::variant<LogGap, LogStray, LogCorrupt> m_what;
};

/// A record for the log of a shard that another node writes: the outcome of an attempt whose claim
/// was forwarded. To be sent to the preferred node's appendForPeer(), or to one's own if that
/// fails.
struct RecordToForward
{
    ShardNumber m_shard = 0;
    std::string m_record;
};

using ClaimEvent = std::variant<ClaimDecided, OutcomeRecorded, RecordToForward, ShardProblem>;

/// A command for the log of one shard, whose objects are `claims/<shardName>/<segmentName>`.
struct ShardCommand
{
    ShardNumber m_shard = 0;
    LogCommand m_command;
};

/// Returns a shard's part of the object name. Constant.
std::string shardName(ShardNumber shard);

} // namespace gypsumdale
