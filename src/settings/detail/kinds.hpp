#pragma once

#include "reader.hpp"

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>
#include <gypsumdale/settings/checker.hpp>
#include <gypsumdale/settings/node_settings.hpp>

#include <fmt/format.h>

#include <functional> // function
#include <optional> // optional
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::detail {

// A kind defines how one type of setting is read, formatted and documented. Each kind has:
//   Value                     the C++ type of the value
//   read(node, value, reader) reads the value or adds findings
//   type(), range()           type and range in the reference
//   show(value)               formats a default
//   describe(path, keys)      adds the keys nested in a map or a list of maps

/// Returns whether the node is a non-empty scalar; reports a wrong type otherwise.
bool isScalar(const YAML::Node &node, std::string_view expected, Reader &reader);

/// Common base of the kinds without nested keys.
struct PlainKind
{
    void describe(const std::string &, KeyReferences &) const {}
    std::string range() const { return {}; }
};

struct IntegerKind : PlainKind
{
    using Value = int;
    int m_least = 0;
    int m_most = 0;

    IntegerKind(int least, int most)
        : m_least(least)
        , m_most(most)
    {}
    void read(const YAML::Node &node, int &value, Reader &reader) const;
    std::string type() const { return "integer"; }
    std::string range() const { return fmt::format("{} to {}", m_least, m_most); }
    std::string show(int value) const { return fmt::format("{}", value); }
};

struct NumberKind : PlainKind
{
    using Value = double;
    double m_least = 0;
    double m_most = 0;

    NumberKind(double least, double most)
        : m_least(least)
        , m_most(most)
    {}
    void read(const YAML::Node &node, double &value, Reader &reader) const;
    std::string type() const { return "number"; }
    std::string range() const { return fmt::format("{} to {}", m_least, m_most); }
    std::string show(double value) const { return fmt::format("{}", value); }
};

/// A whole number with a unit: 350ms, 12s, 5m, 24h.
struct DurationKind : PlainKind
{
    using Value = Duration;
    Duration m_least{};
    Duration m_most{};

    DurationKind(Duration least, Duration most)
        : m_least(least)
        , m_most(most)
    {}
    void read(const YAML::Node &node, Duration &value, Reader &reader) const;
    std::string type() const { return "duration"; }
    std::string range() const { return show(m_least) + " to " + show(m_most); }
    std::string show(Duration value) const;
};

struct FlagKind : PlainKind
{
    using Value = bool;
    void read(const YAML::Node &node, bool &value, Reader &reader) const;
    std::string type() const { return "true or false"; }
    std::string show(bool value) const { return value ? "true" : "false"; }
};

/// A text up to a maximum length.
struct TextKind : PlainKind
{
    using Value = std::string;
    std::size_t m_longest = 256;

    void read(const YAML::Node &node, std::string &value, Reader &reader) const;
    std::string type() const { return "text"; }
    std::string range() const { return fmt::format("1 to {} bytes", m_longest); }
    std::string show(const std::string &value) const { return value; }
};

/// The name of a plug-in, which is resolved by the process that links it.
struct NameKind : PlainKind
{
    using Value = std::string;
    void read(const YAML::Node &node, std::string &value, Reader &reader) const;
    std::string type() const { return "name"; }
    std::string show(const std::string &value) const { return value; }
};

/// A name that is stored as an Id.
template <typename IdType>
struct IdKind : PlainKind
{
    using Value = IdType;
    void read(const YAML::Node &node, IdType &value, Reader &reader) const
    {
        std::string text;
        NameKind().read(node, text, reader);
        value = IdType(std::move(text));
    }
    std::string type() const { return "name"; }
    std::string show(const IdType &value) const { return value.text(); }
};

/// A SHA-256 in lower-case hexadecimal.
struct HashKind : PlainKind
{
    using Value = std::string;
    void read(const YAML::Node &node, std::string &value, Reader &reader) const;
    std::string type() const { return "SHA-256"; }
    std::string range() const { return "64 digits 0-9 a-f"; }
    std::string show(const std::string &value) const { return value; }
};

struct AddressKind : PlainKind
{
    using Value = Address;
    void read(const YAML::Node &node, Address &value, Reader &reader) const;
    std::string type() const { return "address"; }
    std::string range() const { return "IP:PORT"; }
    std::string show(const Address &) const { return {}; }
};

/// The name of a value of an enumeration.
template <typename Enum, std::size_t Size>
struct EnumKind : PlainKind
{
    using Value = Enum;
    NameTable<Enum, Size> m_table;

    explicit EnumKind(const NameTable<Enum, Size> &table)
        : m_table(table)
    {}

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[value, name] : m_table)
            result.emplace_back(name);
        return result;
    }

    void read(const YAML::Node &node, Enum &value, Reader &reader) const
    {
        if (!isScalar(node, range(), reader))
            return;
        const auto found = enumFromName(m_table, node.Scalar());
        if (found) {
            value = *found;
            return;
        }
        reader.add(ErrorId::SettingsUnknownName, node,
                   fmt::format("{} is none of {}", node.Scalar(), range()),
                   nearestHint(node.Scalar(), names()));
    }
    std::string type() const { return "name"; }
    std::string range() const { return fmt::format("{}", fmt::join(names(), ", ")); }
    std::string show(Enum value) const { return std::string(enumName(m_table, value)); }
};

/// An optional value without a default.
template <typename Kind>
struct OptionalKind
{
    using Value = std::optional<typename Kind::Value>;
    Kind m_kind;

    explicit OptionalKind(Kind kind)
        : m_kind(std::move(kind))
    {}
    void read(const YAML::Node &node, Value &value, Reader &reader) const
    {
        m_kind.read(node, value.emplace(), reader);
    }
    std::string type() const { return m_kind.type(); }
    std::string range() const { return m_kind.range(); }
    std::string show(const Value &) const { return {}; }
    void describe(const std::string &path, KeyReferences &keys) const
    {
        m_kind.describe(path, keys);
    }
};

/// A list whose elements must be unique by an identity, which a function returns as text for each
/// element.
template <typename Kind>
struct ListKind
{
    using Element = typename Kind::Value;
    using Value = std::vector<Element>;
    using Identity = std::function<std::string(const Element &)>;
    Kind m_kind;
    std::size_t m_longest;
    Identity m_identity;

    ListKind(Kind kind, std::size_t longest, Identity identity)
        : m_kind(std::move(kind))
        , m_longest(longest)
        , m_identity(std::move(identity))
    {}

    void read(const YAML::Node &node, Value &value, Reader &reader) const
    {
        if (!node.IsSequence()) {
            reader.add(ErrorId::SettingsWrongType, node, "expected a list");
            return;
        }
        if (node.size() > m_longest) {
            reader.add(ErrorId::SettingsOutOfRange, node,
                       fmt::format("{} entries exceed the maximum of {}", node.size(), m_longest));
            return;
        }
        value.clear();
        std::set<std::string> seen;
        for (const auto &child : node) {
            Element element{};
            m_kind.read(child, element, reader);
            const auto identity = m_identity(element);
            if (!identity.empty() && !seen.insert(identity).second)
                reader.add(ErrorId::SettingsDuplicate, child,
                           fmt::format("{} occurs twice", identity));
            value.push_back(std::move(element));
        }
    }
    std::string type() const { return "list of " + m_kind.type(); }
    std::string range() const { return fmt::format("up to {} entries", m_longest); }
    std::string show(const Value &value) const { return value.empty() ? "empty" : "filled"; }
    void describe(const std::string &path, KeyReferences &keys) const
    {
        m_kind.describe(path + "[]", keys);
    }
};

/// A list of unique names.
template <typename IdType>
ListKind<IdKind<IdType>> idList(std::size_t longest)
{
    return {IdKind<IdType>(), longest, [](const IdType &id) {
                return id.text();
            }};
}

} // namespace gypsumdale::detail
