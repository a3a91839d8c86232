#include <gypsumdale/serving/shared_quota.hpp>

#include <algorithm> // clamp
#include <utility> // exchange

namespace gypsumdale {

namespace {

/// Bounds of the time for which a refusal holds without asking again: with 480 VMs, an owner is
/// asked about refused requests of an account at most 1,920 times a second.
constexpr Duration minRefusalHold = std::chrono::milliseconds(250);
constexpr Duration maxRefusalHold = std::chrono::seconds(1);
/// VMs that are asked about one request at most: an owner, one that it names, and a stand-in.
constexpr int maxAttempts = 4;
/// Wait of a caller whose request no VM could decide.
constexpr Duration undecidedRetryAfter = std::chrono::milliseconds(250);

} // namespace

QuotaQuestion SharedQuota::question(const ClientAccount &account, double cost, TimePoint now)
{
    const std::size_t shard = quotaShardOf(account.m_id);
    QuotaQuestion question;
    question.m_owner = m_owners.ownerOf(shard);
    question.m_account = account;
    question.m_cost = cost;
    question.m_credit = {shard, m_time.take(shard, now), m_owners.isStandIn(shard)};
    return question;
}

/// Returns whether this VM owns a shard, or takes its owner's place for the VM that credits it.
bool SharedQuota::acceptsCredit(const QuotaCredit &credit)
{
    if (credit.m_isStandIn || m_owners.ownerOf(credit.m_shard) == m_owners.self())
        return true;
    m_ledger.release(credit.m_shard);
    return false;
}

QuotaAnswer SharedQuota::answer(const QuotaQuestion &question, TimePoint now)
{
    const std::size_t shard = quotaShardOf(question.m_account.m_id);
    QuotaCredit credit = question.m_credit;
    credit.m_shard = shard;
    if (!acceptsCredit(credit))
        return {{}, m_owners.ownerOf(shard)};
    m_ledger.credit(shard, credit.m_time, m_fleetSize, now);
    m_ledger.credit(shard, m_time.take(shard, now), m_fleetSize, now);
    return {m_ledger.admit(question.m_account, question.m_cost, now), std::nullopt};
}

std::set<NodeId> SharedQuota::recordUnreachable(const NodeId &peer, TimePoint now)
{
    std::vector<std::size_t> shards;
    for (std::size_t shard = 0; shard < quotaShardCount; ++shard) {
        if (m_owners.ownerOf(shard) == peer)
            shards.push_back(shard);
    }
    m_owners.recordUnreachable(peer, now);
    std::set<NodeId> standIns;
    for (const std::size_t shard : shards)
        standIns.insert(m_owners.ownerOf(shard));
    standIns.erase(m_owners.self());
    return standIns;
}

std::optional<NodeId> SharedQuota::passedOver(const QuotaCredit &credit)
{
    if (!credit.m_isStandIn || credit.m_shard >= quotaShardCount)
        return std::nullopt;
    const NodeId &owner = m_owners.ownerOf(credit.m_shard);
    return owner == m_owners.self() ? std::nullopt : std::optional(owner);
}

void SharedQuota::recordDecision(const AccountId &account, const QuotaDecision &decision,
                                 TimePoint now)
{
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        m_refusals.erase(account);
        return;
    }
    const Duration hold = std::clamp(decision.m_refillTime, minRefusalHold, maxRefusalHold);
    m_refusals[account] = {decision, now + hold};
}

std::optional<QuotaDecision> SharedQuota::heldRefusal(const AccountId &account, TimePoint now) const
{
    const auto found = m_refusals.find(account);
    if (found == m_refusals.end() || found->second.m_until <= now)
        return std::nullopt;
    return found->second.m_decision;
}

std::vector<QuotaCredit> SharedQuota::creditsFor(const NodeId &peer, TimePoint now)
{
    std::vector<QuotaCredit> credits;
    for (std::size_t shard = 0; shard < quotaShardCount; ++shard) {
        if (m_owners.ownerOf(shard) == peer)
            credits.push_back({shard, m_time.take(shard, now), m_owners.isStandIn(shard)});
    }
    return credits;
}

void SharedQuota::takeCredits(const std::vector<QuotaCredit> &credits, TimePoint now)
{
    for (const QuotaCredit &credit : credits) {
        if (credit.m_shard < quotaShardCount && acceptsCredit(credit))
            m_ledger.credit(credit.m_shard, credit.m_time, m_fleetSize, now);
    }
}

QuotaInquiry::QuotaInquiry(SharedQuota &quota, const ClientAccount &account, double cost,
                           TimePoint now)
    : m_quota(quota)
    , m_question(quota.question(account, cost, now))
{}

void QuotaInquiry::recordAnswer(const QuotaAnswer &answer)
{
    if (!answer.m_owner) {
        m_decision = answer.m_decision;
        return;
    }
    if (!hasAttemptsLeft()) {
        m_quota.takeBack(m_question.m_credit);
        return;
    }
    m_referrer = std::exchange(m_question.m_owner, *answer.m_owner);
}

void QuotaInquiry::recordUnreachable(Delivery delivery, TimePoint now)
{
    m_quota.recordUnreachable(m_question.m_owner, now);
    if (delivery == Delivery::Failed)
        m_quota.takeBack(m_question.m_credit);
    if (!hasAttemptsLeft())
        return;
    if (!m_referrer) {
        m_question = m_quota.question(m_question.m_account, m_question.m_cost, now);
        return;
    }
    const NodeId referrer = *std::exchange(m_referrer, std::nullopt);
    m_question = m_quota.question(m_question.m_account, m_question.m_cost, now);
    m_question.m_owner = referrer;
    m_question.m_credit.m_isStandIn = true;
}

/// Returns whether another VM may be asked. Otherwise the request is refused.
bool QuotaInquiry::hasAttemptsLeft()
{
    if (++m_attempts < maxAttempts)
        return true;
    m_decision = QuotaDecision{QuotaVerdict::OwnerUnknown};
    m_decision->m_retryAfter = undecidedRetryAfter;
    return false;
}

} // namespace gypsumdale
