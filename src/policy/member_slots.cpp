#include <gypsumdale/policy/member_slots.hpp>

#include <algorithm> // min

namespace gypsumdale {

void MemberSlots::setMembers(const std::vector<MemberShare> &members)
{
    m_members.clear();
    for (const MemberShare &share : members)
        m_members[share.m_member] = share;
}

std::size_t MemberSlots::inFlight(const MemberId &member) const
{
    const auto found = m_inFlight.find(member);
    return found == m_inFlight.end() ? 0 : found->second;
}

bool MemberSlots::isAtLimit(const MemberId &member) const
{
    const auto found = m_members.find(member);
    const bool isLimited = found != m_members.end() && found->second.m_maxInFlight > 0;
    return isLimited && inFlight(member) >= found->second.m_maxInFlight;
}

bool MemberSlots::isBelowShare(const MemberId &member, std::uint32_t slots) const
{
    double all = 0.0;
    double own = 1.0;
    for (const auto &[id, share] : m_members) {
        all += share.m_weight;
        if (id == member)
            own = share.m_weight;
    }
    const double share = all > 0.0 ? std::min(own / all, 1.0) : 1.0;
    return static_cast<double>(inFlight(member)) < share * slots;
}

} // namespace gypsumdale
