#pragma once

#include <gypsumdale/fleet/config_object.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <map> // map
#include <memory> // shared_ptr
#include <string> // string

namespace gypsumdale {

/// The profiles, members and fleet settings that are in force on this node. Belongs to the control
/// thread; values are handed out as shared and immutable, so that a request keeps those it began
/// with while newer ones come into force.
class SettingsView
{
public:
    SettingsView();

    /// Puts a checked value in force, or ends it if the value is empty. Logarithmic.
    void apply(const ConfigKey &key, const ConfigValue &value);

    /// Returns the profile of that name, or null. Logarithmic.
    std::shared_ptr<const Profile> profile(const ProfileId &id) const;
    /// Returns the member of that name, or null. Logarithmic.
    std::shared_ptr<const Member> member(const MemberId &id) const;
    std::shared_ptr<const FleetSettings> fleet() const { return m_fleet; }
    const AccountTable &accounts() const { return m_accounts; }
    const std::map<MemberId, std::shared_ptr<const Member>> &members() const { return m_members; }

    /// Returns the longest time for which a profile has idempotency keys remembered. Linear.
    Duration longestKeyRetention() const;

    /// Returns the weight of a member's share: its own, or the fleet's default. Constant.
    double weightOf(const Member &member) const;

private:
    std::map<ProfileId, std::shared_ptr<const Profile>> m_profiles;
    std::map<MemberId, std::shared_ptr<const Member>> m_members;
    std::shared_ptr<const FleetSettings> m_fleet;
    AccountTable m_accounts;
};

} // namespace gypsumdale
