#pragma once

#include <functional> // function
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// The plug-ins of one kind, by the name that settings choose them with. A plug-in is a source file
/// that holds a Registration; linking the file is all it takes to add it.
///
/// Product is most often a std::variant of the alternatives, and Arguments what they are made from.
template <typename Product, typename... Arguments>
class Registry
{
public:
    using Factory = std::function<Product(Arguments...)>;

    /// Returns the one registry of this kind. Filled before main() starts and only read after.
    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }

    /// Adds a plug-in; a second one of the same name takes the place of the first. Logarithmic.
    void add(std::string name, Factory factory)
    {
        m_factories[std::move(name)] = std::move(factory);
    }

    /// Makes the plug-in of that name, or nothing if there is none. Logarithmic.
    std::optional<Product> make(std::string_view name, Arguments... arguments) const
    {
        const auto found = m_factories.find(std::string(name));
        if (found == m_factories.end())
            return std::nullopt;
        return found->second(arguments...);
    }

    /// Returns the names in order, for hints and help texts. Linear.
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

/// Registers one plug-in when its source file is linked:
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
