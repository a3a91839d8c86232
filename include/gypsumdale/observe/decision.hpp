#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// What the decision journal keeps the history of.
enum class DecisionSubject { Request, Upstream };

/// What was decided or came to pass.
enum class Decision {
    // requests and jobs
    Received,
    Accepted,
    Refused,
    Queued,
    Routed,
    Sent,
    FirstToken,
    Retried,
    Hedged,
    Claimed,
    ClaimConflicted,
    Held,
    Checkpointed,
    Resumed,
    TakenOver,
    EventDropped,
    Done,
    NotRun,
    OutcomeUnknown,
    Failed,
    GivenUp,
    Cancelled,
    // upstreams
    Joined,
    Ready,
    Suspected,
    Restored,
    Leaving,
    Drained,
    Gone,
    LimitChanged,
    Ordered,
    OrderRefused,
    Rented,
    Released,
};

/// Why it was decided; the detail says more where that is worth it.
enum class DecisionReason {
    None,
    Profile,
    FairShare,
    FreeSlot,
    CachedPrefix,
    LeastLoaded,
    LowerCost,
    OnlyChoice,
    NoUpstream,
    QueueFull,
    Deadline,
    OverLimit,
    RetryBudget,
    NotRepeatable,
    KeyKnown,
    ReclaimNotice,
    VmList,
    OperatorOrder,
    MissedProbes,
    ProbeAnswered,
    UpstreamFailed,
    UpstreamSilent,
    UpstreamRefused,
    AnswerTruncated,
    CallerGone,
    NodeLost,
    NodeLeaving,
    PlatformDown,
    PlatformConflict,
    SettingsChanged,
    LoadReport,
    OldFence,
    Internal,
};

/// Return the names as `explain` shows them, such as "claim-conflicted". Linear in the names.
std::string_view decisionName(Decision decision);
std::string_view decisionReasonName(DecisionReason reason);
std::string_view decisionSubjectName(DecisionSubject subject);

/// Return the value of a name that another node sent, or nothing for one that this version of the
/// program does not know. Linear in the names.
std::optional<Decision> decisionFrom(std::string_view name);
std::optional<DecisionReason> decisionReasonFrom(std::string_view name);

/// Returns the subject of that name ("request", "upstream"), or nothing.
std::optional<DecisionSubject> decisionSubjectFrom(std::string_view name);

/// One line of a history. The detail is for people; it holds no prompt, answer or credential.
struct DecisionEvent
{
    WallMillis m_at = 0;
    NodeId m_node;
    Decision m_what = Decision::Received;
    DecisionReason m_why = DecisionReason::None;
    std::string m_detail;
};

/// Writes a history as the admin interface answers it: `{"events":[{"atMillis","node","what",
/// "why","detail"}]}`. Linear in the events.
std::string toJson(const std::vector<DecisionEvent> &events);

} // namespace gypsumdale
