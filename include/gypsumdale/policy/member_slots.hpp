#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <map> // map
#include <vector> // vector

namespace gypsumdale {

/// Weight and limit of a member for a service.
struct MemberShare
{
    MemberId m_member;
    double m_weight = 1.0;
    /// Maximum number of requests in flight from this entry VM; 0 for no limit.
    std::uint32_t m_maxInFlight = 0;
};

/// Slots of this entry VM in use by each member of a service, and each member's share of them.
class MemberSlots
{
public:
    /// Sets weights and limits. Members that are not listed have weight 1 and no limit.
    void setMembers(const std::vector<MemberShare> &members);

    void started(const MemberId &member) { ++m_inFlight[member]; }
    void ended(const MemberId &member) { --m_inFlight[member]; }
    std::size_t inFlight(const MemberId &member) const;

    /// Returns whether the member has reached its maximum number of requests in flight.
    bool isAtLimit(const MemberId &member) const;
    /// Returns whether the member has fewer requests in flight than its weighted share of the
    /// slots. Complexity: linear.
    bool isBelowShare(const MemberId &member, std::uint32_t slots) const;

private:
    std::map<MemberId, MemberShare> m_members;
    std::map<MemberId, std::uint32_t> m_inFlight;
};

} // namespace gypsumdale
