#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <pcg_random.hpp>

#include <cstdint> // uint32_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant

namespace gypsumdale {

/// Header that carries an AttemptInfo to the next layer.
inline constexpr std::string_view attemptHeader = "X-Gypsumdale-Attempt";

struct RetryBudgetSettings
{
    /// Retries and hedges earned by each first attempt.
    double m_ratio = 0.1;
    /// Maximum and initial number of retries in the budget.
    double m_maxTokens = 20.0;
    double m_initialTokens = 5.0;
};

/// Retry budget of one service: a token bucket filled by first attempts. A lower layer that
/// received a smaller number of attempts left keeps to that number.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Records a first attempt, which earns a fraction of a retry. Complexity: constant.
    void recordFirstAttempt();
    /// Takes one retry from the budget; returns false if none is left. Complexity: constant.
    bool tryTake();
    double available() const { return m_tokens; }

private:
    RetryBudgetSettings m_settings;
    double m_tokens;
};

/// Attempt information that travels with a request from layer to layer.
struct AttemptInfo
{
    /// Number of the attempt, from 1.
    std::uint32_t m_attempt = 1;
    /// Number of further attempts that the lower layers may make in total.
    std::uint32_t m_attemptsLeft = 0;
    /// Time for which the caller still waits. A duration instead of a point in time, as clocks
    /// differ.
    Duration m_timeLeft = Duration::max();
};

/// Formats the header's value: "attempt=2;left=1;ms=900". Complexity: constant.
std::string toHeader(const AttemptInfo &info);
/// Parses the header's value. Returns nothing if it is malformed; the request then counts as a
/// first attempt.
std::optional<AttemptInfo> attemptFromHeader(std::string_view text);

/// Progress of an attempt at the time of its failure.
enum class AttemptOutcome {
    /// No byte can have reached the upstream.
    NothingSent,
    /// The upstream reported that it refused the request before starting it.
    RefusedBeforeStart,
    /// Something was sent and no answer began, so the request may have run.
    SentNoAnswer,
    /// An answer that matters to the caller began and was interrupted.
    BrokenAnswer,
};

inline constexpr NameTable<AttemptOutcome, 4> attemptOutcomeNames = {{
        {AttemptOutcome::NothingSent, "nothing-sent"},
        {AttemptOutcome::RefusedBeforeStart, "refused-before-start"},
        {AttemptOutcome::SentNoAnswer, "sent-no-answer"},
        {AttemptOutcome::BrokenAnswer, "broken-answer"},
}};

/// Retry rules of a profile.
struct RetryProfile
{
    bool m_isRepeatable = false;
    /// Another upstream can continue the answer from what was received so far.
    bool m_canResume = false;
    bool m_allowsHedging = false;
    /// An accepted job must finish: an exhausted budget doesn't stop its retries, but delays each
    /// by the longest backoff.
    bool m_mustFinish = false;
    std::uint32_t m_maxAttempts = 3;
    Duration m_baseBackoff = std::chrono::milliseconds(25);
    Duration m_maxBackoff = std::chrono::seconds(2);
    /// Time to wait for the first token before a hedge is sent.
    Duration m_hedgeAfter = std::chrono::milliseconds(500);
};

/// Retries after the backoff; continues the answer so far if m_isResume.
struct Retry
{
    Duration m_backoff{};
    bool m_isResume = false;
    AttemptInfo m_next;
};

/// Reason why there is no further attempt.
enum class NoRetryReason {
    NotRepeatable,
    AnswerBegan,
    AttemptsSpent,
    BudgetSpent,
    DeadlinePassed,
    NotEnabled,
    TooEarly,
};

inline constexpr NameTable<NoRetryReason, 7> noRetryReasonNames = {{
        {NoRetryReason::NotRepeatable, "not-repeatable"},
        {NoRetryReason::AnswerBegan, "answer-began"},
        {NoRetryReason::AttemptsSpent, "attempts-spent"},
        {NoRetryReason::BudgetSpent, "budget-spent"},
        {NoRetryReason::DeadlinePassed, "deadline-passed"},
        {NoRetryReason::NotEnabled, "not-enabled"},
        {NoRetryReason::TooEarly, "too-early"},
}};

struct NoRetry
{
    NoRetryReason m_reason = NoRetryReason::NotRepeatable;
};

using RetryDecision = std::variant<Retry, NoRetry>;

/// A failed attempt, or for decideHedge() a slow one.
struct AttemptState
{
    AttemptOutcome m_outcome = AttemptOutcome::NothingSent;
    AttemptInfo m_info;
    TimePoint m_startedAt{};
    TimePoint m_deadline = TimePoint::max();
};

/// Returns the info of a request's first attempt. The attempts left are those that the caller's
/// layer allows, or the profile's maximum if that is less. Complexity: constant.
AttemptInfo firstAttemptInfo(const RetryProfile &profile, const std::optional<AttemptInfo> &caller);

/// Returns the info to send to the layer below: the attempt and the time left, with no further
/// attempts. This layer does the retries; retries on several layers would multiply. Complexity:
/// constant.
AttemptInfo downstreamAttemptInfo(const AttemptInfo &info, TimePoint deadline, TimePoint now);

/// Decides whether a failed attempt is retried, and takes a retry from the budget if so. A request
/// that isn't repeatable is retried only if it can't have run. Complexity: constant.
RetryDecision decideRetry(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now, pcg32 &random);

/// Decides whether a second attempt is sent in parallel to a slow one. Only for repeatable
/// requests, before any answer, and if the profile enables it. Complexity: constant.
RetryDecision decideHedge(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now);

} // namespace gypsumdale
