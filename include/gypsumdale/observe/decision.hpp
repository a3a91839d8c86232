#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Kind of object whose history the decision journal keeps.
enum class DecisionSubject { Request, Upstream };

/// Decision or event in the history of a request or an upstream.
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

/// Reason for a decision; the event's detail adds specifics where they help.
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

/// Return the names that `explain` shows, such as "claim-conflicted". Complexity: linear in the
/// number of names.
std::string_view decisionName(Decision decision);
std::string_view decisionReasonName(DecisionReason reason);
std::string_view decisionSubjectName(DecisionSubject subject);

/// Return the value for a name received from another node, or nothing if this version of the
/// program does not know the name. Complexity: linear in the number of names.
std::optional<Decision> decisionFrom(std::string_view name);
std::optional<DecisionReason> decisionReasonFrom(std::string_view name);

/// Returns the subject kind with the given name ("request", "upstream"), or nothing.
std::optional<DecisionSubject> decisionSubjectFrom(std::string_view name);

/// One event of a history. The detail is for people; it contains no prompt, answer or credential.
struct DecisionEvent
{
    WallMillis m_at = 0;
    NodeId m_node;
    Decision m_what = Decision::Received;
    DecisionReason m_why = DecisionReason::None;
    std::string m_detail;
};

/// Formats a history as the admin interface returns it: `{"events":[{"atMillis","node","what",
/// "why","detail"}]}`. Complexity: linear in the number of events.
std::string toJson(const std::vector<DecisionEvent> &events);

} // namespace gypsumdale
