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
/// for which collisions can be constructed, is not sufficient.
using Digest = std::array<std::uint8_t, 16>;

/// Returns the digest of any bytes. Complexity: linear.
Digest digestOf(std::string_view bytes);

/// Returns the digest that identifies a member's idempotency key. Keys of two members never
/// collide, as the length of the member's name is part of the hashed data. Complexity: linear.
Digest keyDigest(const MemberId &member, std::string_view key);

/// The number of a shard of the claims, counted from 0.
using ShardNumber = std::uint32_t;

/// The id of an attempt to run a request. Globally unique and never reused: it contains the run of
/// the process and a counter, and is never used for a second begin().
using AttemptId = Id<struct AttemptIdTag>;

/// Identifies one call of begin().
using ClaimTicket = std::uint64_t;

/// A request with a key that is to be run.
struct ClaimRequest
{
    MemberId m_member;
    std::string m_key;
    Digest m_bodyDigest{};
    AttemptId m_attempt;
    /// The attempt is never sent after this time.
    TimePoint m_deadline;
};

/// The caller may send this attempt once, if ClaimLedger::start() returns true.
struct Granted
{
    AttemptId m_attempt;
};

/// An answer as the ledger stores it.
struct StoredAnswer
{
    int m_status = 0;
    std::string m_contentType;
    /// Absent if it was above the size limit.
    std::optional<std::string> m_body;
};

/// An earlier attempt with this key and body has run.
struct AlreadyDone
{
    AttemptId m_attempt;
    StoredAnswer m_answer;
};

/// An earlier attempt with this key is running or may have run; its outcome is unknown.
struct InProgressOrUnknown
{
    AttemptId m_attempt;
};

/// The key was used before with another body (ErrorId::KeyReusedWithOtherBody). Nothing was run.
struct KeyReused
{};

/// Why an attempt was not run.
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

/// The result of a begin(); each ticket gets exactly one.
struct ClaimDecided
{
    ClaimTicket m_ticket = 0;
    ClaimResult m_result;
};

/// The outcome of a finished attempt is stored in the platform, so that a resubmission to any node
/// finds it.
struct OutcomeRecorded
{
    AttemptId m_attempt;
};

/// A problem to show to operators: segments that vanished unread, a stray segment or a corrupt one.
struct ShardProblem
{
    ShardNumber m_shard = 0;
    std::variant<LogGap, LogStray, LogCorrupt> m_what;
};

/// A record for the log of a shard that another node writes: the outcome of an attempt whose claim
/// was forwarded. To be sent to the preferred node's appendForPeer(), or passed to the own one if
/// that fails.
struct RecordToForward
{
    ShardNumber m_shard = 0;
    std::string m_record;
};

using ClaimEvent = std::variant<ClaimDecided, OutcomeRecorded, RecordToForward, ShardProblem>;

/// A command for the log of one shard, whose objects are named `claims/<shardName>/<segmentName>`.
struct ShardCommand
{
    ShardNumber m_shard = 0;
    LogCommand m_command;
};

/// Returns the part of the object names that identifies a shard. Complexity: constant.
std::string shardName(ShardNumber shard);

} // namespace gypsumdale
