#include <gypsumdale/core/result.hpp>
#include <gypsumdale/kernel/settings_view.hpp>

#include <algorithm> // max

namespace gypsumdale {

SettingsView::SettingsView()
    : m_fleet(std::make_shared<FleetSettings>())
{}

void SettingsView::apply(const ConfigKey &key, const ConfigValue &value)
{
    const auto end = [&](std::monostate) {
        m_profiles.erase(key.m_kind == SettingsKind::Profile ? ProfileId(key.m_name) : ProfileId());
        if (key.m_kind != SettingsKind::Member)
            return;
        m_members.erase(MemberId(key.m_name));
        m_accounts.remove(MemberId(key.m_name));
    };
    const auto putProfile = [&](const Profile &profile) {
        m_profiles[profile.m_id] = std::make_shared<Profile>(profile);
    };
    const auto putFleet = [&](const FleetSettings &fleet) {
        m_fleet = std::make_shared<FleetSettings>(fleet);
    };
    const auto putMember = [&](const Member &member) {
        m_members[member.m_id] = std::make_shared<Member>(member);
        m_accounts.set(member);
    };
    std::visit(Overloaded{end, putProfile, putFleet, putMember}, value);
}

std::shared_ptr<const Profile> SettingsView::profile(const ProfileId &id) const
{
    const auto found = m_profiles.find(id);
    return found == m_profiles.end() ? nullptr : found->second;
}

std::shared_ptr<const Member> SettingsView::member(const MemberId &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : found->second;
}

Duration SettingsView::longestKeyRetention() const
{
    Duration longest = Duration::zero();
    for (const auto &[id, profile] : m_profiles)
        longest = std::max(longest, profile->m_keyRetention);
    return longest;
}

double SettingsView::weightOf(const Member &member) const
{
    return member.m_weight > 0 ? member.m_weight : m_fleet->m_memberWeight;
}

} // namespace gypsumdale
