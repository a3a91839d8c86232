#include <gypsumdale/policy/retry_budget.hpp>

#include <fmt/format.h>

#include <algorithm> // max, min
#include <charconv> // from_chars
#include <system_error> // errc

namespace gypsumdale {

namespace {

constexpr std::uint32_t maxDoublings = 20;
constexpr double minJitter = 0.5;
/// A longer time left is omitted from the header.
constexpr std::int64_t maxMillis = 7LL * 24 * 3600 * 1000;

std::optional<NoRetryReason> reasonFromOutcome(AttemptOutcome outcome, const RetryProfile &profile)
{
    const bool cannotHaveRun =
            outcome == AttemptOutcome::NothingSent || outcome == AttemptOutcome::RefusedBeforeStart;
    if (cannotHaveRun)
        return std::nullopt;
    if (!profile.m_isRepeatable)
        return NoRetryReason::NotRepeatable;
    if (outcome == AttemptOutcome::BrokenAnswer && !profile.m_canResume)
        return NoRetryReason::AnswerBegan;
    return std::nullopt;
}

Duration backoffBefore(std::uint32_t attempt, const RetryProfile &profile, pcg32 &random)
{
    const std::uint32_t doublings = std::min(attempt - std::min(attempt, 1U), maxDoublings);
    const Duration full = std::min(profile.m_baseBackoff * (1U << doublings), profile.m_maxBackoff);
    const double fraction = random() / static_cast<double>(pcg32::max());
    const double jitter = minJitter + (1.0 - minJitter) * fraction;
    return Duration(static_cast<Duration::rep>(static_cast<double>(full.count()) * jitter));
}

AttemptInfo nextAttempt(const AttemptState &attempt, TimePoint startsAt)
{
    const Duration left = attempt.m_deadline == TimePoint::max() ? Duration::max()
                                                                 : attempt.m_deadline - startsAt;
    return AttemptInfo{attempt.m_info.m_attempt + 1, attempt.m_info.m_attemptsLeft - 1, left};
}

template <typename Number>
std::optional<Number> numberAfter(std::string_view text, std::string_view key)
{
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view rest = text.substr(at + key.size());
    Number value = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), value);
    const bool isComplete = end == rest.data() + rest.size() || *end == ';';
    if (error != std::errc() || !isComplete)
        return std::nullopt;
    return value;
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_tokens(std::min(settings.m_initialTokens, settings.m_maxTokens))
{}

void RetryBudget::recordFirstAttempt()
{
    m_tokens = std::min(m_tokens + m_settings.m_ratio, m_settings.m_maxTokens);
}

bool RetryBudget::tryTake()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

std::string toHeader(const AttemptInfo &info)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(info.m_timeLeft);
    if (millis.count() > maxMillis)
        return fmt::format("attempt={};left={}", info.m_attempt, info.m_attemptsLeft);
    return fmt::format("attempt={};left={};ms={}", info.m_attempt, info.m_attemptsLeft,
                       std::max<std::int64_t>(millis.count(), 0));
}

std::optional<AttemptInfo> attemptFromHeader(std::string_view text)
{
    const auto attempt = numberAfter<std::uint32_t>(text, "attempt=");
    const auto left = numberAfter<std::uint32_t>(text, "left=");
    if (!attempt || *attempt == 0 || !left)
        return std::nullopt;
    AttemptInfo info{*attempt, *left, Duration::max()};
    if (text.find("ms=") == std::string_view::npos)
        return info;
    const auto millis = numberAfter<std::int64_t>(text, "ms=");
    if (!millis || *millis < 0 || *millis > maxMillis)
        return std::nullopt;
    info.m_timeLeft = std::chrono::milliseconds(*millis);
    return info;
}

AttemptInfo firstAttemptInfo(const RetryProfile &profile, const std::optional<AttemptInfo> &caller)
{
    const std::uint32_t own = std::max(profile.m_maxAttempts, 1U) - 1;
    if (!caller)
        return AttemptInfo{1, own, Duration::max()};
    return AttemptInfo{caller->m_attempt, std::min(own, caller->m_attemptsLeft),
                       caller->m_timeLeft};
}

AttemptInfo downstreamAttemptInfo(const AttemptInfo &info, TimePoint deadline, TimePoint now)
{
    const Duration left =
            deadline == TimePoint::max() ? Duration::max() : std::max(deadline - now, Duration{});
    return AttemptInfo{info.m_attempt, 0, left};
}

RetryDecision decideRetry(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now, pcg32 &random)
{
    if (const auto reason = reasonFromOutcome(attempt.m_outcome, profile))
        return NoRetry{*reason};
    if (attempt.m_info.m_attemptsLeft == 0)
        return NoRetry{NoRetryReason::AttemptsSpent};
    Duration backoff = backoffBefore(attempt.m_info.m_attempt, profile, random);
    if (attempt.m_deadline <= now + backoff)
        return NoRetry{NoRetryReason::DeadlinePassed};
    if (!budget.tryTake()) {
        if (!profile.m_mustFinish)
            return NoRetry{NoRetryReason::BudgetSpent};
        backoff = profile.m_maxBackoff;
    }
    const bool isResume = attempt.m_outcome == AttemptOutcome::BrokenAnswer;
    return Retry{backoff, isResume, nextAttempt(attempt, now + backoff)};
}

RetryDecision decideHedge(const AttemptState &attempt, const RetryProfile &profile,
                          RetryBudget &budget, TimePoint now)
{
    if (!profile.m_allowsHedging)
        return NoRetry{NoRetryReason::NotEnabled};
    if (!profile.m_isRepeatable)
        return NoRetry{NoRetryReason::NotRepeatable};
    if (attempt.m_outcome == AttemptOutcome::BrokenAnswer)
        return NoRetry{NoRetryReason::AnswerBegan};
    if (now - attempt.m_startedAt < profile.m_hedgeAfter)
        return NoRetry{NoRetryReason::TooEarly};
    if (attempt.m_info.m_attemptsLeft == 0)
        return NoRetry{NoRetryReason::AttemptsSpent};
    if (attempt.m_deadline <= now)
        return NoRetry{NoRetryReason::DeadlinePassed};
    if (!budget.tryTake())
        return NoRetry{NoRetryReason::BudgetSpent};
    return Retry{Duration{}, false, nextAttempt(attempt, now)};
}

} // namespace gypsumdale
