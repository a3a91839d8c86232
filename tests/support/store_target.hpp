#pragma once

#include <boost/url/decode_view.hpp>
#include <boost/url/pct_string_view.hpp>

#include <algorithm> // ranges::any_of
#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::testing {

/// What the path of a call to the store names, decoded.
struct StoreTarget
{
    std::string m_kind;
    /// Empty for calls on the whole kind.
    std::string m_name;
    bool m_isStatus = false;
};

/// Returns whether a request's target has the form that HTTP asks for: no blank or control byte,
/// and no incomplete escape.
inline bool isWellFormedTarget(std::string_view target)
{
    const auto isForbidden = [](char byte) {
        const auto value = static_cast<unsigned char>(byte);
        return value <= 0x20 || value == 0x7F;
    };
    return !std::ranges::any_of(target, isForbidden)
           && boost::urls::make_pct_string_view(target).has_value();
}

/// Decodes the path of a well-formed target; nothing if it names neither a kind nor an object.
inline std::optional<StoreTarget> decodeStoreTarget(std::string_view target)
{
    constexpr std::string_view prefix = "/-/objects/";
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (!path.starts_with(prefix))
        return std::nullopt;
    path.remove_prefix(prefix.size());
    std::vector<std::string> segments;
    for (std::size_t start = 0; start <= path.size();) {
        const std::string_view segment = path.substr(start, path.find('/', start) - start);
        segments.push_back(boost::urls::make_pct_string_view(segment)->decode());
        start += segment.size() + 1;
    }
    const bool isStatus = segments.size() == 3 && segments[2] == "status";
    if (segments.size() > 2 && !isStatus)
        return std::nullopt;
    return StoreTarget{segments[0], segments.size() > 1 ? segments[1] : std::string(), isStatus};
}

} // namespace gypsumdale::testing
