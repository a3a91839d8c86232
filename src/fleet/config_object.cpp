#include <gypsumdale/fleet/config_object.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

Findings nameFinding(const std::string &document, std::string text, std::string hint)
{
    return {{ErrorId::SettingsUnknownName, {document, 0, 0}, std::move(text), std::move(hint)}};
}

template <typename Value>
Checked<ConfigValue> widen(Checked<Value> checked)
{
    if (auto *findings = std::get_if<Findings>(&checked))
        return std::move(*findings);
    return ConfigValue(std::get<Value>(std::move(checked)));
}

} // namespace

std::string platformName(const ConfigKey &key)
{
    return std::string(enumName(settingsKindNames, key.m_kind)) + "/" + key.m_name;
}

std::optional<ConfigKey> configKeyOf(std::string_view platformName)
{
    const auto slash = platformName.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = enumFromName(settingsKindNames, platformName.substr(0, slash));
    const auto name = platformName.substr(slash + 1);
    if (!kind || !isValidName(name))
        return std::nullopt;
    return ConfigKey{*kind, std::string(name)};
}

Checked<ConfigValue> checkConfigBody(const ConfigKey &key, std::string_view body)
{
    const auto document = platformName(key);
    if (!isValidName(key.m_name))
        return nameFinding(document, "not a valid name", "use lower-case letters, digits, - and .");
    switch (key.m_kind) {
    case SettingsKind::Profile:
        return widen(checkProfile(ProfileId(key.m_name), body, document));
    case SettingsKind::Member:
        return widen(checkMember(MemberId(key.m_name), body, document));
    case SettingsKind::Fleet:
        break;
    }
    if (key.m_name == fleetSettingsName)
        return widen(checkFleetSettings(body, document));
    return nameFinding(document, "the fleet has only one settings object",
                       "name it " + std::string(fleetSettingsName));
}

} // namespace gypsumdale
