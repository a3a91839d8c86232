#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstdint> // uint64_t
#include <map> // map

namespace gypsumdale {

/// Tokens served per member by one process since its start. A value never falls.
using TokenCounts = std::map<MemberId, std::uint64_t>;

/// The weighted virtual token counters of a data centre's members, as one entry VM sees them: its
/// own exact counts plus what the peers' heartbeats told last. Service is tokens divided by weight.
class TokenCounters
{
public:
    /// Sets a member's weight; the service it had so far stays. Weights below a thousandth count as
    /// a thousandth. Logarithmic.
    void setWeight(const MemberId &member, double weight);
    double weight(const MemberId &member) const;

    /// Adds tokens served by this process. Logarithmic.
    void charge(const MemberId &member, std::uint64_t tokens);

    /// Corrects an earlier charge once the real number is known. Too little is charged now; too
    /// much is kept and set off against the member's next charges, since the counts never fall.
    /// Logarithmic.
    void correctCharge(const MemberId &member, std::uint64_t charged, std::uint64_t actual);

    /// Takes over what a peer has served in all since its start. Counts that fell are late messages
    /// and ignored; a higher incarnation starts from its counts as new service, while the service
    /// known from the old one stays; a lower one is ignored. The first message ever heard from a
    /// peer sets the base and moves nobody, or else a node that starts would see the whole past as
    /// one jump. Linear in the counts.
    void mergePeer(const NodeId &peer, std::uint64_t incarnation, const TokenCounts &counts);

    /// Lifts a member that comes back from idleness to at least this service, so that it can't draw
    /// on the time it was away. Logarithmic.
    void raiseService(const MemberId &member, double service);

    /// Returns the virtual service of a member: its tokens by weight and its lifts. Logarithmic.
    double service(const MemberId &member) const;

    /// Returns the service of the member that had most. Constant.
    double highestService() const { return m_highest; }

    /// Returns what this process has served in all, for its heartbeats.
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
