#include <entry/quota_wire.hpp>

#include <algorithm> // clamp, max, transform
#include <chrono> // duration_cast, microseconds, milliseconds
#include <cmath> // isfinite
#include <iterator> // back_inserter

namespace gypsumdale {

namespace {

/// More than any VM can have left to credit.
constexpr std::chrono::microseconds maxCredit = std::chrono::hours(1);
/// Longest wait that an owner may tell.
constexpr std::chrono::milliseconds maxWait = std::chrono::seconds(10);

/// Returns a number that may be meant; 0 in place of one that can't be.
double nonNegative(double value)
{
    return std::isfinite(value) ? std::max(value, 0.0) : 0;
}

Duration waitOf(std::int64_t millis)
{
    return std::clamp(std::chrono::milliseconds(millis), std::chrono::milliseconds::zero(),
                      maxWait);
}

entrywire::QuotaCredit encodeCredit(const QuotaCredit &credit)
{
    entrywire::QuotaCredit encoded;
    encoded.shard = static_cast<std::int32_t>(credit.m_shard);
    encoded.micros = std::chrono::duration_cast<std::chrono::microseconds>(credit.m_time).count();
    encoded.isStandIn = credit.m_isStandIn;
    return encoded;
}

/// Reads a credit. A shard or a time that can't be meant becomes one that no VM counts.
QuotaCredit decodeCredit(const entrywire::QuotaCredit &encoded)
{
    QuotaCredit credit;
    credit.m_shard = encoded.shard < 0 ? quotaShardCount : static_cast<std::size_t>(encoded.shard);
    credit.m_time = std::clamp(std::chrono::microseconds(encoded.micros),
                               std::chrono::microseconds::zero(), maxCredit);
    credit.m_isStandIn = encoded.isStandIn;
    return credit;
}

} // namespace

entrywire::QuotaQuestion encodeQuotaQuestion(const QuotaQuestion &question)
{
    entrywire::QuotaQuestion encoded;
    encoded.account = question.m_account.m_id.text();
    encoded.ratePerSecond = question.m_account.m_ratePerSecond;
    encoded.burst = question.m_account.m_burst;
    encoded.cost = question.m_cost;
    encoded.credit = encodeCredit(question.m_credit);
    return encoded;
}

QuotaQuestion decodeQuotaQuestion(const entrywire::QuotaQuestion &encoded)
{
    QuotaQuestion question;
    question.m_account.m_id = AccountId(encoded.account);
    question.m_account.m_ratePerSecond = nonNegative(encoded.ratePerSecond);
    question.m_account.m_burst = nonNegative(encoded.burst);
    question.m_cost = nonNegative(encoded.cost);
    question.m_credit = decodeCredit(encoded.credit);
    return question;
}

entrywire::QuotaAnswer encodeQuotaAnswer(const QuotaAnswer &answer)
{
    const QuotaDecision &decision = answer.m_decision;
    entrywire::QuotaAnswer encoded;
    encoded.isAdmitted = decision.m_verdict == QuotaVerdict::Admitted;
    encoded.level = decision.m_level;
    encoded.capacity = decision.m_capacity;
    encoded.retryAfterMillis = toWholeMillis(decision.m_retryAfter);
    encoded.refillMillis = toWholeMillis(decision.m_refillTime);
    return encoded;
}

QuotaAnswer decodeQuotaAnswer(const entrywire::QuotaAnswer &encoded)
{
    QuotaAnswer answer;
    if (encoded.__isset.owner) {
        answer.m_owner = NodeId(encoded.owner.node);
        return answer;
    }
    QuotaDecision &decision = answer.m_decision;
    decision.m_verdict = encoded.isAdmitted ? QuotaVerdict::Admitted : QuotaVerdict::OverLimit;
    decision.m_level = encoded.level;
    decision.m_capacity = encoded.capacity;
    decision.m_retryAfter = waitOf(encoded.retryAfterMillis);
    decision.m_refillTime = waitOf(encoded.refillMillis);
    return answer;
}

std::vector<entrywire::QuotaCredit> encodeQuotaCredits(const std::vector<QuotaCredit> &credits)
{
    std::vector<entrywire::QuotaCredit> encoded;
    std::ranges::transform(credits, std::back_inserter(encoded), encodeCredit);
    return encoded;
}

std::vector<QuotaCredit> decodeQuotaCredits(const std::vector<entrywire::QuotaCredit> &encoded)
{
    std::vector<QuotaCredit> credits;
    std::ranges::transform(encoded, std::back_inserter(credits), decodeCredit);
    return credits;
}

} // namespace gypsumdale
