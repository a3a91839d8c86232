#pragma once

#include <nlohmann/json.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::ctl {

/// What a node answered, its keys in the order they came. The functions below never throw: an
/// answer from another version of the daemon, or from a balancer, may lack anything.
using Json = nlohmann::ordered_json;

/// Parses a document; what is not JSON becomes null. Linear.
Json parseJson(std::string_view text);

/// Returns a member of an object, or null where there is none.
const Json &memberAt(const Json &object, std::string_view key);

/// Returns a member that is a list, or an empty list. Linear in the object's members.
const Json &listAt(const Json &object, std::string_view key);

/// Returns a member that is a whole number, or nothing.
std::optional<std::int64_t> integerAt(const Json &object, std::string_view key);

/// Returns a member as text that is safe to print: "yes" and "no" for flags, "" for what is
/// missing.
std::string textAt(const Json &object, std::string_view key);

} // namespace gypsumdale::ctl
