#include <gypsumdale/ledger/log_messages.hpp>

#include <fmt/format.h>

#include <charconv> // from_chars

namespace gypsumdale {

namespace {

constexpr std::size_t segmentDigits = 12;

} // namespace

std::string segmentName(SegmentNumber number)
{
    return fmt::format("{:0{}}", number, segmentDigits);
}

std::optional<SegmentNumber> segmentNumberIn(std::string_view objectName)
{
    const std::size_t slash = objectName.rfind('/');
    if (slash != std::string_view::npos)
        objectName.remove_prefix(slash + 1);
    if (objectName.size() != segmentDigits)
        return std::nullopt;
    SegmentNumber number = 0;
    const char *end = objectName.data() + objectName.size();
    const auto [stop, error] = std::from_chars(objectName.data(), end, number);
    if (error != std::errc() || stop != end || number == 0)
        return std::nullopt;
    return number;
}

} // namespace gypsumdale
