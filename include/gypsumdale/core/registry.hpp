#pragma once

#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// Registry of the plug-ins of one kind, by the name under which settings select them. A plug-in is
/// a source file that defines a Registration object; linking the file adds the plug-in.
///
/// Product is usually a std::variant of the alternatives; Arguments are the factory's parameters.
template <typename Product, typename... Arguments>
class Registry
{
public:
    using Factory = std::function<Product(Arguments...)>;

    /// Returns the only registry of this kind. It is filled before main() starts and only read
    /// afterwards.
    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }

    /// Adds a plug-in, replacing any plug-in of the same name. Complexity: logarithmic.
    void add(std::string name, Factory factory)
    {
        m_factories[std::move(name)] = std::move(factory);
    }

    /// Creates the plug-in of the given name, or returns nothing if there is none. Complexity:
    /// logarithmic.
    std::optional<Product> make(std::string_view name, Arguments... arguments) const
    {
        const auto found = m_factories.find(std::string(name));
        if (found == m_factories.end())
            return std::nullopt;
        return found->second(arguments...);
    }

    /// Returns the plug-in names in alphabetical order, for hints and help texts. Complexity:
    /// linear.
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, factory] : m_factories)
            result.push_back(name);
        return result;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/// Registers a plug-in when its source file is linked:
/// `static const Registration<Policy, Settings> registration{"name", makePolicy};`
template <typename Product, typename... Arguments>
struct Registration
{
    Registration(std::string name, typename Registry<Product, Arguments...>::Factory factory)
    {
        Registry<Product, Arguments...>::instance().add(std::move(name), std::move(factory));
    }
};

} // namespace gypsumdale
