#include <gypsumdale/serving/crash_elements.hpp>

#include <algorithm> // any_of, includes, min, set_intersection
#include <cstddef> // size_t
#include <iterator> // inserter

namespace gypsumdale {

namespace {

constexpr std::size_t maxParts = 16;
/// Longest name that is kept of a model or of a part.
constexpr std::size_t maxNameLength = 64;
constexpr std::string_view requestPrefix = "request:";

} // namespace

CrashElements crashElementsOf(const RequestDigest &digest, std::string_view model,
                              const std::vector<std::string> &promptParts)
{
    CrashElements elements{CrashElement(std::string(requestPrefix) + digest.text())};
    const std::string prefix = "part:" + std::string(model.substr(0, maxNameLength)) + ":";
    for (std::size_t index = 0; index < std::min(maxParts, promptParts.size()); ++index)
        elements.insert(CrashElement(prefix + promptParts[index].substr(0, maxNameLength)));
    return elements;
}

bool holdsWholeRequest(const CrashElements &elements)
{
    return std::any_of(elements.begin(), elements.end(), [](const CrashElement &element) {
        return element.text().starts_with(requestPrefix);
    });
}

bool holdsAll(const CrashElements &request, const CrashElements &required)
{
    return std::includes(request.begin(), request.end(), required.begin(), required.end());
}

CrashElements commonElements(const CrashElements &left, const CrashElements &right)
{
    CrashElements common;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                          std::inserter(common, common.end()));
    return common;
}

std::string textOf(const CrashElements &elements)
{
    std::string text;
    for (const CrashElement &element : elements) {
        if (!text.empty())
            text += ' ';
        text += element.text();
    }
    return text;
}

} // namespace gypsumdale
