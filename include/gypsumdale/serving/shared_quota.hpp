#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/serving/fleet_quota.hpp>
#include <gypsumdale/serving/quota_ledger.hpp>
#include <gypsumdale/serving/quota_owners.hpp>
#include <gypsumdale/serving/serving_config.hpp>

#include <cstddef> // size_t
#include <map> // map
#include <optional> // optional
#include <set> // set
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// Time that a VM credits to a shard, see QuotaTime.
struct QuotaCredit
{
    std::size_t m_shard = 0;
    Duration m_time{};
    /// The crediting VM can't reach the owner that comes before the receiver.
    bool m_isStandIn = false;
};

/// Asks the owner of an account to admit a request.
struct QuotaQuestion
{
    NodeId m_owner;
    ClientAccount m_account;
    double m_cost = 0;
    QuotaCredit m_credit;
};

/// What an owner answers.
struct QuotaAnswer
{
    QuotaDecision m_decision;
    /// Set if the VM asked isn't the owner: the owner as far as it knows. Nothing was decided, and
    /// the credit was not taken.
    std::optional<NodeId> m_owner;
};

/// One VM's part in quotas that are decided by one owner for each account: it asks owners, is asked
/// as one, and credits its time to them.
///
/// In a fleet of hundreds of VMs, reports from all to all are seconds old, and a decision based on
/// them admits what others have admitted as well. The owner decides on what it knows itself.
class SharedQuota
{
public:
    SharedQuota(NodeId self, const FleetQuotaSettings &settings, TimePoint startedAt)
        : m_owners(std::move(self))
        , m_time(startedAt)
        , m_ledger(settings)
    {}

    /// Sets the peers from which messages were received lately, and that may own shards.
    void setPeers(std::vector<NodeId> peers) { m_owners.setPeers(std::move(peers)); }
    /// Sets the number of VMs among which the rates are divided.
    void setFleetSize(std::size_t vms) { m_fleetSize = vms; }

    /// Returns the question to ask about a request. The credit in it counts as made.
    QuotaQuestion question(const ClientAccount &account, double cost, TimePoint now);
    /// Answers a question, whether its owner is this VM or not. Complexity: logarithmic in the
    /// number of accounts.
    QuotaAnswer answer(const QuotaQuestion &question, TimePoint now);
    /// Takes back the credit of a question that no VM has taken.
    void takeBack(const QuotaCredit &credit) { m_time.giveBack(credit.m_shard, credit.m_time); }
    /// Records that a peer didn't answer, so that others own its shards until it is heard again.
    /// Returns those others, to which the time of this VM should be credited soon. Complexity:
    /// linear in the number of VMs and shards.
    std::set<NodeId> recordUnreachable(const NodeId &peer, TimePoint now);
    /// Records a message of a peer.
    void recordHeard(const NodeId &peer, TimePoint now) { m_owners.recordHeard(peer, now); }
    /// Returns the VM that this one takes for the owner of a shard, if the VM that credits it can't
    /// reach that one and has passed it over.
    std::optional<NodeId> passedOver(const QuotaCredit &credit);

    /// Records a decision. A refusal also holds for the requests that follow within its wait, so
    /// that a rush doesn't take up its owner.
    void recordDecision(const AccountId &account, const QuotaDecision &decision, TimePoint now);
    /// Returns the refusal that holds for an account, or nothing. Complexity: logarithmic in the
    /// number of accounts.
    std::optional<QuotaDecision> heldRefusal(const AccountId &account, TimePoint now) const;

    /// Returns the credits for the shards that a peer owns, which count as made. Complexity: linear
    /// in the number of shards.
    std::vector<QuotaCredit> creditsFor(const NodeId &peer, TimePoint now);
    /// Takes the credits of a peer. Those for shards that are unknown, or that another VM owns, are
    /// ignored.
    void takeCredits(const std::vector<QuotaCredit> &credits, TimePoint now);

private:
    bool acceptsCredit(const QuotaCredit &credit);

    struct Refusal
    {
        QuotaDecision m_decision;
        TimePoint m_until{};
    };

    QuotaOwners m_owners;
    QuotaTime m_time;
    QuotaLedger m_ledger;
    std::map<AccountId, Refusal> m_refusals;
    std::size_t m_fleetSize = 1;
};

/// Whether a message to a VM that hasn't answered may have arrived.
enum class Delivery {
    /// It was not sent, or its connection broke.
    Failed,
    Unknown,
};

/// The course of asking for one request: which VM is asked next, until one decides.
class QuotaInquiry
{
public:
    QuotaInquiry(SharedQuota &quota, const ClientAccount &account, double cost, TimePoint now);

    /// Returns the question to ask next, at its owner. If that is this VM, it answers itself.
    const QuotaQuestion &question() const { return m_question; }
    /// Returns the decision, or nothing while there is a question to ask.
    const std::optional<QuotaDecision> &decision() const { return m_decision; }

    void recordAnswer(const QuotaAnswer &answer);
    /// Records that the VM asked didn't answer. A credit that may have arrived isn't used again.
    void recordUnreachable(Delivery delivery, TimePoint now);

private:
    bool hasAttemptsLeft();

    SharedQuota &m_quota;
    QuotaQuestion m_question;
    /// The VM that named the owner asked now.
    std::optional<NodeId> m_referrer;
    int m_attempts = 0;
    std::optional<QuotaDecision> m_decision;
};

} // namespace gypsumdale
