#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <nlohmann/json.hpp>

#include <chrono> // duration, duration_cast
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move

namespace gypsumdale::standins {

using Json = nlohmann::json;

/// Parses JSON; returns an empty object for an empty text and a discarded value for a malformed
/// one. Complexity: linear in the length of the text.
inline Json parseJson(std::string_view text)
{
    if (text.empty())
        return Json::object();
    return Json::parse(text, nullptr, false);
}

/// Returns a text field, or the fallback if it is absent or of another type.
/// Complexity: logarithmic in the number of fields.
inline std::string textField(const Json &json, const char *name, std::string fallback = {})
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_string())
        return fallback;
    return found->get<std::string>();
}

inline std::optional<double> numberField(const Json &json, const char *name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number())
        return std::nullopt;
    return found->get<double>();
}

inline std::optional<int> integerField(const Json &json, const char *name)
{
    const auto number = numberField(json, name);
    if (!number)
        return std::nullopt;
    return static_cast<int>(*number);
}

inline bool flagField(const Json &json, const char *name, bool fallback)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_boolean())
        return fallback;
    return found->get<bool>();
}

/// Converts fractional milliseconds from options or JSON to a duration. Complexity: constant.
inline Duration fromMillis(double millis)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

/// Returns an answer with a JSON body. Invalid UTF-8 is replaced.
/// Complexity: linear in the size of the body.
inline HttpReply jsonReply(int status, const Json &body)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("Content-Type", "application/json");
    reply.m_body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

/// Returns an answer whose JSON body holds only an error message.
/// Complexity: linear in the length of the message.
inline HttpReply errorReply(int status, std::string message)
{
    return jsonReply(status, Json{{"error", {{"message", std::move(message)}}}});
}

} // namespace gypsumdale::standins
