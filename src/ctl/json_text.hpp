#pragma once

#include <nlohmann/json.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::ctl {

/// Answer of a node, with its keys in their original order. The functions below never throw, as an
/// answer from another version of the daemon or from a load balancer may lack any member.
using Json = nlohmann::ordered_json;

/// Parses a document; returns null if it is not valid JSON. Complexity: linear.
Json parseJson(std::string_view text);

/// Returns a member of an object, or null if it is missing.
const Json &memberAt(const Json &object, std::string_view key);

/// Returns an array member, or an empty array if it is missing or of another type. Complexity:
/// linear in the number of the object's members.
const Json &listAt(const Json &object, std::string_view key);

/// Returns an integer member, or nothing if it is missing or of another type.
std::optional<std::int64_t> integerAt(const Json &object, std::string_view key);

/// Returns a member as text that is safe to print: "yes" or "no" for booleans, "" if it is missing.
std::string textAt(const Json &object, std::string_view key);

} // namespace gypsumdale::ctl
