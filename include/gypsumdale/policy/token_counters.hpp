#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <deque> // deque
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

    /// Counts tokens that this process serves `factor` times until they are older than `span`, the
    /// age of the peers' reports: the peers are assumed to serve as this process does, which their
    /// reports don't show yet. Off with a factor of 1. Complexity: constant.
    void setExtrapolation(double factor, Duration span);

    /// Sets the current time, which ends the extrapolation of older tokens. Complexity: amortised
    /// constant.
    void advance(TimePoint now);

    /// Adds service that is no tokens and is reported to no peer, for as long as the process runs.
    /// It starts the processes at different points of the order. Complexity: logarithmic.
    void addOffset(const MemberId &member, double service);

    /// Returns the service of the most served member, without what is extrapolated. Complexity:
    /// constant.
    double highestService() const { return m_highest; }

    /// Returns the total counts of this process, for its heartbeats.
    const TokenCounts &ownCounts() const { return m_own; }

private:
    struct Member
    {
        double m_weight = 1.0;
        double m_service = 0.0;
        std::uint64_t m_overcharged = 0;
        /// Own tokens that the peers' reports don't reflect yet.
        std::uint64_t m_recent = 0;
    };
    /// Own tokens of one moment.
    struct Charge
    {
        TimePoint m_at;
        MemberId m_member;
        std::uint64_t m_tokens = 0;
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
    double m_factor = 1.0;
    Duration m_span{};
    TimePoint m_now{};
    std::deque<Charge> m_recentCharges;
};

} // namespace gypsumdale
