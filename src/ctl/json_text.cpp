#include <ctl/json_text.hpp>
#include <ctl/table.hpp>

namespace gypsumdale::ctl {

Json parseJson(std::string_view text)
{
    constexpr auto noCallback = nullptr;
    constexpr bool throwOnError = false;
    Json document = Json::parse(text, noCallback, throwOnError);
    return document.is_discarded() ? Json() : document;
}

const Json &memberAt(const Json &object, std::string_view key)
{
    static const Json nullValue;
    if (!object.is_object())
        return nullValue;
    const auto found = object.find(std::string(key));
    return found == object.end() ? nullValue : *found;
}

const Json &listAt(const Json &object, std::string_view key)
{
    static const Json emptyList = Json::array();
    const Json &list = memberAt(object, key);
    return list.is_array() ? list : emptyList;
}

std::optional<std::int64_t> integerAt(const Json &object, std::string_view key)
{
    const Json &number = memberAt(object, key);
    if (!number.is_number_integer())
        return std::nullopt;
    return number.get<std::int64_t>();
}

std::string textAt(const Json &object, std::string_view key)
{
    const Json &value = memberAt(object, key);
    if (value.is_null())
        return {};
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_string())
        return printable(value.get<std::string>());
    constexpr bool escapeNonAscii = true;
    return value.dump(-1, ' ', escapeNonAscii, Json::error_handler_t::replace);
}

} // namespace gypsumdale::ctl
