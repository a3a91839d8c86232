#include <gypsumdale/kernel/error_reply.hpp>

#include <nlohmann/json.hpp>

#include <chrono> // ceil, milliseconds, seconds
#include <string> // string, to_string

namespace gypsumdale {

int httpStatusOf(ErrorId id)
{
    switch (id) {
    case ErrorId::RequestMalformed:
        return 400;
    case ErrorId::CredentialRefused:
        return 401;
    case ErrorId::ProfileUnknown:
    case ErrorId::ServiceUnknown:
    case ErrorId::NotFound:
    case ErrorId::JobUnknown:
        return 404;
    case ErrorId::MethodNotAllowed:
        return 405;
    case ErrorId::RequestTooSlow:
        return 408;
    case ErrorId::OutcomeUnknown:
    case ErrorId::PlatformConflict:
        return 409;
    case ErrorId::JobExpired:
        return 410;
    case ErrorId::RequestTooLarge:
        return 413;
    case ErrorId::KeyReusedWithOtherBody:
        return 422;
    case ErrorId::MemberOverLimit:
    case ErrorId::QueueFull:
        return 429;
    case ErrorId::UpstreamFailed:
    case ErrorId::UpstreamRefused:
    case ErrorId::AnswerTruncated:
        return 502;
    case ErrorId::UpstreamSilent:
    case ErrorId::Timeout:
        return 504;
    case ErrorId::Internal:
        return 500;
    default:
        return 503;
    }
}

namespace {

nlohmann::ordered_json errorDocument(const Error &error, Duration retryAfter)
{
    nlohmann::ordered_json details;
    details["id"] = static_cast<int>(error.m_id);
    details["name"] = errorName(error.m_id);
    details["message"] = error.m_text;
    if (retryAfter > Duration::zero()) {
        details["retry_after_ms"] =
                std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    }
    nlohmann::ordered_json document;
    document["error"] = std::move(details);
    return document;
}

std::string dump(const nlohmann::ordered_json &document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpReply makeReply(const Error &error, Duration retryAfter, std::string body)
{
    HttpReply reply;
    reply.m_status = httpStatusOf(error.m_id);
    reply.m_headers.add("Content-Type", "application/json");
    if (retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        reply.m_headers.add("Retry-After", std::to_string(seconds));
    }
    reply.m_body = std::move(body);
    return reply;
}

} // namespace

std::string errorBody(const Error &error)
{
    return dump(errorDocument(error, Duration::zero()));
}

HttpReply errorReply(const Error &error, Duration retryAfter)
{
    return makeReply(error, retryAfter, dump(errorDocument(error, retryAfter)));
}

HttpReply errorReply(const Error &error, Outcome outcome, Duration retryAfter)
{
    nlohmann::ordered_json document = errorDocument(error, retryAfter);
    document["outcome"] = enumName(outcomeNames, outcome);
    HttpReply reply = makeReply(error, retryAfter, dump(document));
    reply.m_headers.add("X-Outcome", std::string(enumName(outcomeNames, outcome)));
    return reply;
}

} // namespace gypsumdale
