#pragma once

#include <gypsumdale/fleet/config_object.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <map> // map
#include <memory> // shared_ptr
#include <string> // string

namespace gypsumdale {

/// Profiles, members and fleet settings in force on this node. Used on the control thread only.
/// Values are shared and immutable, so that a request keeps those it started with when newer ones
/// come into force.
class SettingsView
{
public:
    SettingsView();

    /// Puts a validated value in force, or removes it if the value is empty. Complexity:
    /// logarithmic.
    void apply(const ConfigKey &key, const ConfigValue &value);

    /// Returns the profile of that name, or null. Complexity: logarithmic.
    std::shared_ptr<const Profile> profile(const ProfileId &id) const;
    /// Returns the member of that name, or null. Complexity: logarithmic.
    std::shared_ptr<const Member> member(const MemberId &id) const;
    std::shared_ptr<const FleetSettings> fleet() const { return m_fleet; }
    const AccountTable &accounts() const { return m_accounts; }
    const std::map<MemberId, std::shared_ptr<const Member>> &members() const { return m_members; }

    /// Returns the longest retention of idempotency keys of any profile. Complexity: linear.
    Duration longestKeyRetention() const;

    /// Returns the weight of a member's share: its own, or the fleet's default. Complexity:
    /// constant.
    double weightOf(const Member &member) const;

private:
    std::map<ProfileId, std::shared_ptr<const Profile>> m_profiles;
    std::map<MemberId, std::shared_ptr<const Member>> m_members;
    std::shared_ptr<const FleetSettings> m_fleet;
    AccountTable m_accounts;
};

} // namespace gypsumdale
