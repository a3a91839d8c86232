#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// The kinds of object that operators edit and that are in force in the whole fleet.
enum class SettingsKind {
    Profile,
    Fleet,
    Member,
};

/// The names as they stand in the admin interface and in the platform's object names.
inline constexpr NameTable<SettingsKind, 3> settingsKindNames = {{
        {SettingsKind::Profile, "profile"},
        {SettingsKind::Fleet, "fleet"},
        {SettingsKind::Member, "member"},
}};

/// The name of the one object of kind fleet.
inline constexpr std::string_view fleetSettingsName = "settings";

} // namespace gypsumdale
