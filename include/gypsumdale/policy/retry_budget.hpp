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

/// Header that tells the next layer which attempt this is and how many it may still add.
inline constexpr std::string_view attemptHeader = "X-Gypsumdale-Attempt";

struct RetryBudgetSettings
{
    /// Retries and hedges allowed for each first attempt.
    double m_ratio = 0.1;
    /// Retries saved up at most, and what a quiet service starts with.
    double m_maxTokens = 20.0;
    double m_initialTokens = 5.0;
};

/// The retries that one service may still send: a bucket filled by first attempts. A layer below
/// that was told of fewer attempts left obeys those.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Notes a first attempt, which earns a part of a retry. Constant.
    void recordFirstAttempt();
    /// Takes one retry out; false if there is none. Constant.
    bool tryTake();
    double available() const { return m_tokens; }

private:
    RetryBudgetSettings m_settings;
    double m_tokens;
};

/// What travels with a request from layer to layer.
struct AttemptInfo
{
    /// 1 for the first.
    std::uint32_t m_attempt = 1;
    /// How many more the path below may make in all.
    std::uint32_t m_attemptsLeft = 0;
    /// How long the caller still waits; deadlines travel as durations, since clocks differ.
    Duration m_timeLeft = Duration::max();
};

/// Writes the header's value: "attempt=2;left=1;ms=900". Constant.
std::string toHeader(const AttemptInfo &info);
/// Reads the header's value; nothing if it is malformed, when the caller counts as a first attempt.
std::optional<AttemptInfo> attemptFromHeader(std::string_view text);

/// How far an attempt got before it failed.
enum class AttemptOutcome {
    /// No byte can have reached the upstream.
    NothingSent,
    /// The upstream said that it refused before it started.
    RefusedBeforeStart,
    /// Something was sent and no answer began: it may have run.
    SentNoAnswer,
    /// An answer that matters to the caller began and broke off.
    BrokenAnswer,
};

inline constexpr NameTable<AttemptOutcome, 4> attemptOutcomeNames = {{
        {AttemptOutcome::NothingSent, "nothing-sent"},
        {AttemptOutcome::RefusedBeforeStart, "refused-before-start"},
        {AttemptOutcome::SentNoAnswer, "sent-no-answer"},
        {AttemptOutcome::BrokenAnswer, "broken-answer"},
}};

/// What a profile says about trying again.
struct RetryProfile
{
    bool m_isRepeatable = false;
    /// The answer so far can be given to another upstream to go on from.
    bool m_canResume = false;
    bool m_allowsHedging = false;
    /// An accepted job has to finish: a spent budget doesn't stop it, but slows it to the longest
    /// backoff.
    bool m_mustFinish = false;
    std::uint32_t m_maxAttempts = 3;
    Duration m_baseBackoff = std::chrono::milliseconds(25);
    Duration m_maxBackoff = std::chrono::seconds(2);
    /// How long to wait for the first token before a hedge is sent.
    Duration m_hedgeAfter = std::chrono::milliseconds(500);
};

/// Try again after a pause; with the answer so far if it resumes.
struct Retry
{
    Duration m_backoff{};
    bool m_isResume = false;
    AttemptInfo m_next;
};

/// Why there is no further attempt.
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

/// One failed attempt, or one that is slow, for decideHedge().
struct AttemptState
{
    AttemptOutcome m_outcome = AttemptOutcome::NothingSent;
    AttemptInfo m_info;
    TimePoint m_startedAt{};
    TimePoint m_deadline = TimePoint::max();
};

/// Returns the info of a request's first attempt: what the caller's layer left, or the profile's
/// own number of attempts if that is less. Constant.
AttemptInfo firstAttemptInfo(const RetryProfile &profile, const std::optional<AttemptInfo> &caller);

/// Returns what to tell the layer below: the attempt and the time left, but no further attempts of
/// its own, since this layer makes them; attempts would multiply otherwise. Constant.
AttemptInfo downstreamAttemptInfo(const AttemptInfo &info, TimePoint deadline, TimePoint now);

/// Decides whether a failed attempt is tried again, and takes one out of the budget if so. A
/// request that must not repeat is tried again only where it can't have run. Constant.
RetryDecision decideRetry(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now, pcg32 &random);

/// Decides whether a second attempt is sent beside a slow one. Only for requests that may repeat,
/// before any answer, and only if the profile enables it. Constant.
RetryDecision decideHedge(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now);

} // namespace gypsumdale
