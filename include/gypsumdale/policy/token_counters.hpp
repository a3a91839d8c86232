#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <map> // map

namespace gypsumdale {

/// Tokens served per member by one process since its start. Values never decrease.
using TokenCounts = std::map<MemberId, std::uint64_t>;

/// Weighted virtual token counters of a data centre's members from the view of one entry VM: its
/// own exact counts plus the last heartbeats of its peers. Service is tokens divided by weight.
class TokenCounters
{
public:
    /// Sets a member's weight; service received so far is kept. The minimum weight is 0.001.
    /// Complexity: logarithmic.
    void setWeight(const MemberId &member, double weight);
    double weight(const MemberId &member) const;

    /// Adds tokens served by this process. Complexity: logarithmic.
    void charge(const MemberId &member, std::uint64_t tokens);

    /// Corrects an earlier charge once the actual number is known. A missing amount is charged now.
    /// An excess is kept and deducted from the member's next charges, as the counts never decrease.
    /// Complexity: logarithmic.
    void correctCharge(const MemberId &member, std::uint64_t charged, std::uint64_t actual);

    /// Applies a peer's total counts since its start. Counts that decreased are from delayed
    /// messages and ignored. With a higher incarnation the counts are new service on top of the
    /// service of the previous one; a lower incarnation is ignored. The first message from a peer
    /// only sets the baseline, as otherwise a node that starts would count the whole past at once.
    /// Complexity: linear in the counts.
    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const TokenCounts &counts);

    /// Raises a member that was idle to at least this service, so that it gets no credit for the
    /// idle time. Complexity: logarithmic.
    void raiseService(const MemberId &member, double service);

    /// Returns the virtual service of a member: tokens by weight, including raises. Complexity:
    /// logarithmic.
    double service(const MemberId &member) const;

    /// Returns the service of the most served member. Complexity: constant.
    double highestService() const { return m_highest; }

    /// Returns the total counts of this process, for its heartbeats.
    const TokenCounts &ownCounts() const { return m_own; }

private:
    struct Member
    {
        double m_weight = 1.0;
        double m_service = 0.0;
        std::uint64_t m_overcharged = 0;
    };
    struct Peer
    {
        std::uint64_t m_incarnation = 0;
        TokenCounts m_counts;
    };

    void add(const MemberId &member, std::uint64_t tokens);

    std::map<MemberId, Member> m_members;
    std::map<NodeId, Peer> m_peers;
    TokenCounts m_own;
    double m_highest = 0.0;
};

} // namespace gypsumdale
