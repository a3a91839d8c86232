#include <gypsumdale/observe/log.hpp>

#include <algorithm> // equal, find_if
#include <array> // array
#include <cctype> // tolower

namespace gypsumdale {

namespace {

/// Prefixes of credentials, in lower case.
constexpr std::array<std::string_view, 3> secretMarkers = {"bearer ", "basic ", secretKeyPrefix};

constexpr std::string_view replacement = "[redacted]";

bool beginsWith(std::string_view text, std::string_view lowerCaseMarker)
{
    if (text.size() < lowerCaseMarker.size())
        return false;
    return std::equal(lowerCaseMarker.begin(), lowerCaseMarker.end(), text.begin(),
                      [](char expected, char actual) {
                          return expected == std::tolower(static_cast<unsigned char>(actual));
                      });
}

/// Returns the length of the marker at the start of the text, or 0.
std::size_t markerLength(std::string_view text)
{
    const auto found =
            std::find_if(secretMarkers.begin(), secretMarkers.end(),
                         [text](std::string_view marker) { return beginsWith(text, marker); });
    return found == secretMarkers.end() ? 0 : found->size();
}

bool endsCredential(char letter)
{
    return std::string_view(" \t\r\n\"',;").find(letter) != std::string_view::npos;
}

/// Returns the text after the credential at its start.
std::string_view skipCredential(std::string_view text)
{
    const auto end = std::find_if(text.begin(), text.end(), endsCredential);
    return text.substr(static_cast<std::size_t>(end - text.begin()));
}

} // namespace

std::string redactSecrets(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        const std::size_t marker = markerLength(text);
        if (marker == 0) {
            result += text.front();
            text.remove_prefix(1);
            continue;
        }
        result += text.substr(0, marker);
        result += replacement;
        text = skipCredential(text.substr(marker));
    }
    return result;
}

} // namespace gypsumdale
