#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// Kinds of objects that operators edit and that apply to the whole fleet.
enum class SettingsKind {
    Profile,
    Fleet,
    Member,
};

/// Names of the kinds in the admin interface and in the platform's object names.
inline constexpr NameTable<SettingsKind, 3> settingsKindNames = {{
        {SettingsKind::Profile, "profile"},
        {SettingsKind::Fleet, "fleet"},
        {SettingsKind::Member, "member"},
}};

/// Name of the only object of kind fleet.
inline constexpr std::string_view fleetSettingsName = "settings";

} // namespace gypsumdale
