#pragma once

#include <gypsumdale/core/ids.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <map> // map
#include <vector> // vector

namespace gypsumdale {

/// A member's part in a service.
struct MemberShare
{
    MemberId m_member;
    double m_weight = 1.0;
    /// Requests in flight from this entry VM at most; 0 for no limit.
    std::uint32_t m_maxInFlight = 0;
};

/// How many of this entry VM's slots each member of a service has in use, and has a right to.
class MemberSlots
{
public:
    /// Members not named weigh 1 and have no limit.
    void setMembers(const std::vector<MemberShare> &members);

    void started(const MemberId &member) { ++m_inFlight[member]; }
    void ended(const MemberId &member) { --m_inFlight[member]; }
    std::size_t inFlight(const MemberId &member) const;

    /// Tells whether the member has as many requests in flight as it may at most.
    bool isAtLimit(const MemberId &member) const;
    /// Tells whether it has fewer in flight than its share of the slots by weight. Linear.
    bool isBelowShare(const MemberId &member, std::uint32_t slots) const;

private:
    std::map<MemberId, MemberShare> m_members;
    std::map<MemberId, std::uint32_t> m_inFlight;
};

} // namespace gypsumdale
