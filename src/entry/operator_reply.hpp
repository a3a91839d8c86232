#pragma once

#include <gypsumdale/core/error.hpp>
#include <gypsumdale/runtime/http_message.hpp>

#include <nlohmann/json.hpp>

#include <string_view> // string_view

/// Answers of the pages for operators.
namespace gypsumdale {

inline HttpReply operatorReply(int status, const nlohmann::json &body)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.add("Content-Type", "application/json");
    reply.m_body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return reply;
}

inline HttpReply operatorRefusal(int status, ErrorId id, std::string_view message)
{
    const nlohmann::json error = {
            {"id", static_cast<int>(id)}, {"name", errorName(id)}, {"message", message}};
    return operatorReply(status, {{"error", error}});
}

} // namespace gypsumdale
