#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/fleet_size_estimate.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/serving/shared_quota.hpp>

#include <functional> // function
#include <map> // map
#include <string> // string
#include <utility> // move

namespace gypsumdale::entrywire {
class EntryDigest;
class EntryExchange;
class QuotaQuestion;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Carries the questions and credits of quotas between VMs, in fleets that are too large for every
/// VM to decide them by the reports of all.
class QuotaExchange
{
public:
    QuotaExchange(EntryContext &context, PeerTable &table, const FleetSizeEstimate &fleetSize);

    /// Called with a VM that another one has named as an owner.
    using PeerNamed = std::function<void(const std::string &node, const std::string &address)>;
    void onPeerNamed(PeerNamed named) { m_peerNamed = std::move(named); }

    /// Follows the peers that are known and heard now. Called at each regular exchange.
    void update();
    /// Returns whether quotas are decided by their owners: in a large fleet, and as long as its
    /// size isn't known.
    bool usesOwners() const { return m_usesOwners; }

    /// Decides a request of a cost, at the VM that owns the account's quota. Suspends the calling
    /// fiber.
    QuotaDecision admit(const ClientAccount &account, double cost);
    /// Answers a peer's question. May suspend the calling fiber.
    entrywire::EntryExchange answer(const entrywire::QuotaQuestion &encoded);

    /// Fills in the credits for a peer, unless it is null, and the size of the fleet.
    void fill(const KnownPeer *peer, entrywire::EntryDigest &digest);
    /// Takes the credits of a peer that was heard.
    void takeCredits(const entrywire::EntryDigest &digest);
    /// Takes back the credits of a message that was not delivered.
    void takeBackCredits(const entrywire::EntryDigest &digest);
    /// Records that a peer didn't answer a regular exchange. Credits go to the VMs that stand in
    /// for it at once: accounts of their shards would be refused until the next regular exchange.
    void recordUnreachable(const KnownPeer &peer);

    /// Called to exchange with a peer out of turn, to find out whether it can be reached.
    using Check = std::function<void(const KnownPeerPointer &peer)>;
    void onCheck(Check check) { m_check = std::move(check); }
    /// Finds out whether an owner can be reached that another VM can't reach.
    void checkOwner(const std::string &node);

private:
    void ask(QuotaInquiry &inquiry);
    void suspect(const NodeId &owner);
    KnownPeerPointer findPeer(const NodeId &node) const;
    QuotaAnswer decide(const QuotaQuestion &question);
    QuotaAnswer receive(const entrywire::EntryExchange &message);

    EntryContext &m_context;
    PeerTable &m_table;
    const FleetSizeEstimate &m_fleetSize;
    SharedQuota m_quota;
    PeerNamed m_peerNamed;
    Check m_check;
    /// When peers were told of owners that can't be reached.
    std::map<NodeId, TimePoint> m_suspectedAt;
    std::map<NodeId, KnownPeerPointer> m_peers;
    bool m_usesOwners = false;
};

} // namespace gypsumdale
