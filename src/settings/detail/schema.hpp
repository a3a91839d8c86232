#pragma once

#include "kinds.hpp"
#include "reader.hpp"

#include <fmt/format.h>

#include <functional> // function
#include <set> // set
#include <string> // string
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::detail {

/// Schema of a map. Each key is declared once, with its kind and the member it fills; reading,
/// hints and the reference page are all derived from the declaration.
template <typename Structure>
class Schema
{
public:
    /// Declares an optional key. The member's initial value is the default.
    template <typename Kind>
    Schema &key(std::string name, typename Kind::Value Structure::*member, Kind kind,
                std::string text)
    {
        return declare(std::move(name), member, std::move(kind), std::move(text), false);
    }

    /// Declares a required key.
    template <typename Kind>
    Schema &required(std::string name, typename Kind::Value Structure::*member, Kind kind,
                     std::string text)
    {
        return declare(std::move(name), member, std::move(kind), std::move(text), true);
    }

    /// Fills the structure from a map. Reports findings for unknown, missing, duplicate and invalid
    /// keys.
    void read(const YAML::Node &node, Structure &structure, Reader &reader) const
    {
        if (!node.IsMap()) {
            reader.add(ErrorId::SettingsWrongType, node, "expected keys with values");
            return;
        }
        std::set<std::string> seen;
        for (const auto &pair : node)
            readPair(pair.first, pair.second, seen, structure, reader);
        for (const auto &rule : m_rules) {
            if (rule.m_isRequired && !seen.contains(rule.m_name))
                reader.add(ErrorId::SettingsMissingKey, node,
                           fmt::format("the key {} is missing", rule.m_name));
        }
    }

    void describe(const std::string &path, KeyReferences &keys) const
    {
        for (const auto &rule : m_rules)
            rule.m_describe(path.empty() ? rule.m_name : path + "." + rule.m_name, keys);
    }

private:
    struct Rule
    {
        std::string m_name;
        bool m_isRequired = false;
        std::function<void(const YAML::Node &, Structure &, Reader &)> m_read;
        std::function<void(const std::string &, KeyReferences &)> m_describe;
    };

    template <typename Kind>
    Schema &declare(std::string name, typename Kind::Value Structure::*member, Kind kind,
                    std::string text, bool isRequired)
    {
        Rule rule{std::move(name), isRequired, {}, {}};
        rule.m_read = [member, kind](const YAML::Node &node, Structure &structure, Reader &reader) {
            kind.read(node, structure.*member, reader);
        };
        rule.m_describe = [member, kind, text = std::move(text),
                           isRequired](const std::string &path, KeyReferences &keys) {
            const auto fallback = isRequired ? "required" : kind.show(Structure{}.*member);
            keys.push_back({path, kind.type(), fallback, kind.range(), text});
            kind.describe(path, keys);
        };
        m_rules.push_back(std::move(rule));
        return *this;
    }

    void readPair(const YAML::Node &key, const YAML::Node &value, std::set<std::string> &seen,
                  Structure &structure, Reader &reader) const
    {
        if (!isScalar(key, "a key", reader))
            return;
        const auto &name = key.Scalar();
        if (!seen.insert(name).second) {
            reader.add(ErrorId::SettingsDuplicate, key,
                       fmt::format("the key {} occurs twice", name));
            return;
        }
        for (const auto &rule : m_rules) {
            if (rule.m_name != name)
                continue;
            // The parser reports the position of a missing value on a later line.
            if (value.IsNull())
                reader.add(ErrorId::SettingsWrongType, key,
                           fmt::format("the key {} has no value", name));
            else
                rule.m_read(value, structure, reader);
            return;
        }
        reader.add(ErrorId::SettingsUnknownKey, key, fmt::format("unknown key {}", name),
                   nearestHint(name, names()));
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &rule : m_rules)
            result.push_back(rule.m_name);
        return result;
    }

    std::vector<Rule> m_rules;
};

/// A nested map with its own schema.
template <typename Structure>
struct MapKind
{
    using Value = Structure;
    Schema<Structure> m_schema;

    explicit MapKind(Schema<Structure> schema)
        : m_schema(std::move(schema))
    {}
    void read(const YAML::Node &node, Structure &value, Reader &reader) const
    {
        m_schema.read(node, value, reader);
    }
    std::string type() const { return "map"; }
    std::string range() const { return {}; }
    std::string show(const Structure &) const { return {}; }
    void describe(const std::string &path, KeyReferences &keys) const
    {
        m_schema.describe(path, keys);
    }
};

/// Reads a document with a schema, and then checks for contradictions between its values with a
/// function (value, root, reader), which reports them. Contradictions are checked even if the
/// document already has findings, based on the values that could be read.
template <typename Structure, typename Contradictions>
Checked<Structure> checkDocument(const Schema<Structure> &schema, Structure structure,
                                 std::string_view text, const std::string &document,
                                 Contradictions contradictions)
{
    Reader reader(document);
    const auto root = parseDocument(text, reader);
    if (root) {
        schema.read(*root, structure, reader);
        if (root->IsMap())
            contradictions(structure, *root, reader);
    }
    if (!reader.isClean())
        return reader.take();
    return structure;
}

} // namespace gypsumdale::detail
