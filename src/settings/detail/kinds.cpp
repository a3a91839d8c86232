#include "kinds.hpp"

#include <arpa/inet.h> // inet_pton

#include <algorithm> // all_of
#include <array> // array
#include <charconv> // from_chars
#include <chrono> // hours, milliseconds, minutes, seconds
#include <cstdint> // int64_t

namespace gypsumdale {

bool isValidName(std::string_view text)
{
    constexpr std::size_t longestName = 63;
    const auto isInner = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    };
    const auto isEnd = [](char c) {
        return c != '-' && c != '.';
    };
    if (text.empty() || text.size() > longestName)
        return false;
    return std::all_of(text.begin(), text.end(), isInner) && isEnd(text.front())
           && isEnd(text.back());
}

} // namespace gypsumdale

namespace gypsumdale::detail {

namespace {

struct DurationUnit
{
    std::string_view m_name;
    Duration m_length;
};

/// Ordered from the longest to the shortest, so that a duration is formatted in the longest unit
/// that divides it.
constexpr std::array<DurationUnit, 4> durationUnits = {{
        {"h", std::chrono::hours(1)},
        {"m", std::chrono::minutes(1)},
        {"s", std::chrono::seconds(1)},
        {"ms", std::chrono::milliseconds(1)},
}};

/// Parses a text that consists entirely of a number.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

/// Returns nothing if the text isn't a whole number with a unit, or is out of range.
std::optional<Duration> parseDuration(std::string_view text)
{
    const auto unitStart = text.find_first_not_of("0123456789");
    if (unitStart == std::string_view::npos)
        return std::nullopt;
    const auto count = parseNumber<std::int64_t>(text.substr(0, unitStart));
    if (!count)
        return std::nullopt;
    for (const auto &unit : durationUnits) {
        if (unit.m_name != text.substr(unitStart))
            continue;
        if (*count > Duration::max() / unit.m_length)
            return std::nullopt;
        return *count * unit.m_length;
    }
    return std::nullopt;
}

bool isIpNumber(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
           || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    auto host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const bool hasColon = host.find(':') != std::string_view::npos;
    if (!port || *port == 0 || hasColon != isBracketed || !isIpNumber(std::string(host)))
        return std::nullopt;
    return Address{std::string(host), *port};
}

template <typename Kind, typename Number>
void takeInRange(const Kind &kind, const YAML::Node &node, Number number, Number &value,
                 Reader &reader)
{
    // The condition is written so that NaN fails as well.
    if (number >= kind.m_least && number <= kind.m_most) {
        value = number;
        return;
    }
    reader.add(ErrorId::SettingsOutOfRange, node,
               fmt::format("{} is not within {}", node.Scalar(), kind.range()));
}

void addWrongType(const YAML::Node &node, std::string_view expected, Reader &reader)
{
    reader.add(ErrorId::SettingsWrongType, node, fmt::format("expected {}", expected));
}

} // namespace

bool isScalar(const YAML::Node &node, std::string_view expected, Reader &reader)
{
    if (node.IsScalar())
        return true;
    addWrongType(node, expected, reader);
    return false;
}

void IntegerKind::read(const YAML::Node &node, int &value, Reader &reader) const
{
    if (!isScalar(node, "an integer", reader))
        return;
    const auto number = parseNumber<std::int64_t>(node.Scalar());
    if (!number) {
        addWrongType(node, "an integer", reader);
        return;
    }
    std::int64_t wide = value;
    takeInRange(*this, node, *number, wide, reader);
    value = static_cast<int>(wide);
}

void NumberKind::read(const YAML::Node &node, double &value, Reader &reader) const
{
    if (!isScalar(node, "a number", reader))
        return;
    const auto number = parseNumber<double>(node.Scalar());
    if (!number) {
        addWrongType(node, "a number", reader);
        return;
    }
    takeInRange(*this, node, *number, value, reader);
}

void DurationKind::read(const YAML::Node &node, Duration &value, Reader &reader) const
{
    constexpr std::string_view expected = "a duration such as 350ms, 12s, 5m or 24h";
    if (!isScalar(node, expected, reader))
        return;
    const auto duration = parseDuration(node.Scalar());
    if (!duration) {
        addWrongType(node, expected, reader);
        return;
    }
    takeInRange(*this, node, *duration, value, reader);
}

std::string DurationKind::show(Duration value) const
{
    if (value == Duration::zero())
        return "0s";
    for (const auto &unit : durationUnits) {
        if (value % unit.m_length == Duration::zero())
            return fmt::format("{}{}", value / unit.m_length, unit.m_name);
    }
    return fmt::format("{}ns", value.count());
}

void FlagKind::read(const YAML::Node &node, bool &value, Reader &reader) const
{
    if (!isScalar(node, "true or false", reader))
        return;
    const bool isTrue = node.Scalar() == "true";
    if (!isTrue && node.Scalar() != "false") {
        addWrongType(node, "true or false", reader);
        return;
    }
    value = isTrue;
}

void TextKind::read(const YAML::Node &node, std::string &value, Reader &reader) const
{
    if (!isScalar(node, "a text", reader))
        return;
    if (node.Scalar().empty() || node.Scalar().size() > m_longest) {
        reader.add(ErrorId::SettingsOutOfRange, node, "expected " + range());
        return;
    }
    value = node.Scalar();
}

void NameKind::read(const YAML::Node &node, std::string &value, Reader &reader) const
{
    constexpr std::string_view expected =
            "a name of lower-case letters, digits, '-' and '.', 63 at most";
    if (!isScalar(node, expected, reader))
        return;
    if (!isValidName(node.Scalar())) {
        addWrongType(node, expected, reader);
        return;
    }
    value = node.Scalar();
}

void HashKind::read(const YAML::Node &node, std::string &value, Reader &reader) const
{
    constexpr std::size_t digits = 64;
    // The finding does not repeat the text: it may be a key that was pasted here by mistake.
    constexpr std::string_view expected = "a SHA-256 as 64 digits 0-9 a-f";
    if (!isScalar(node, expected, reader))
        return;
    const auto &text = node.Scalar();
    if (text.size() != digits || text.find_first_not_of("0123456789abcdef") != std::string::npos) {
        addWrongType(node, expected, reader);
        return;
    }
    value = text;
}

void AddressKind::read(const YAML::Node &node, Address &value, Reader &reader) const
{
    constexpr std::string_view expected = "an IP number and a port, such as 127.0.0.1:8080";
    if (!isScalar(node, expected, reader))
        return;
    const auto address = parseAddress(node.Scalar());
    if (!address) {
        addWrongType(node, expected, reader);
        return;
    }
    value = *address;
}

} // namespace gypsumdale::detail
