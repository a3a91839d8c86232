#pragma once

#include <gypsumdale/settings/fleet_settings.hpp>
#include <gypsumdale/settings/member.hpp>
#include <gypsumdale/settings/profile.hpp>
#include <gypsumdale/settings/settings_kind.hpp>

#include <compare> // strong_ordering
#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <tuple> // tie
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Version of the platform's store. One counter serves the whole store, so versions of different
/// objects are comparable, and "everything up to version V" is well defined.
using ConfigVersion = std::uint64_t;

/// The platform's kind of all configuration objects. With one kind for all of them, one list and
/// one watch cover the whole configuration.
inline constexpr std::string_view configPlatformKind = "settings";

struct ConfigKey
{
    SettingsKind m_kind = SettingsKind::Profile;
    std::string m_name;

    friend bool operator==(const ConfigKey &, const ConfigKey &) = default;
    friend std::strong_ordering operator<=>(const ConfigKey &left, const ConfigKey &right)
    {
        return std::tie(left.m_kind, left.m_name) <=> std::tie(right.m_kind, right.m_name);
    }
};

/// Returns the object's name in the platform, such as "profile/quote-draft".
std::string platformName(const ConfigKey &key);

/// Parses a name in the platform; returns nothing if it isn't the name of a configuration object.
std::optional<ConfigKey> configKeyOf(std::string_view platformName);

/// One version of one object as stored in the platform. A deleted object has no body.
struct ConfigObject
{
    ConfigKey m_key;
    ConfigVersion m_version = 0;
    std::string m_body;
    bool m_deleted = false;
};

using ConfigObjects = std::vector<ConfigObject>;

/// Parsed content of a body; empty for a deleted object.
using ConfigValue = std::variant<std::monostate, Profile, FleetSettings, Member>;

/// Parses the body of an object with the checker of its kind. Findings name the object as their
/// document.
Checked<ConfigValue> checkConfigBody(const ConfigKey &key, std::string_view body);

} // namespace gypsumdale
