#include <gypsumdale/kernel/platform_client.hpp>
#include <gypsumdale/runtime/http_status.hpp>
#include <gypsumdale/runtime/http_target.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv> // from_chars
#include <string> // to_string

namespace gypsumdale {

namespace {

/// Additional time that a watch may take beyond its timeout.
constexpr Duration watchMargin = std::chrono::seconds(2);

/// Returns the target of one object. Slashes separate the parts of a name.
std::string objectTarget(std::string_view kind, std::string_view name)
{
    return HttpTargetBuilder("/v1/objects").segment(kind).segments(name).build();
}

std::string quoted(ObjectVersion version)
{
    return fmt::format("\"{}\"", version);
}

ObjectVersion versionIn(std::string_view etag)
{
    ObjectVersion version = 0;
    while (!etag.empty() && etag.front() == '"')
        etag.remove_prefix(1);
    std::from_chars(etag.data(), etag.data() + etag.size(), version);
    return version;
}

Duration retryAfterOf(const HttpReply &reply)
{
    const std::string_view text = reply.m_headers.value("Retry-After");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

PlatformFailure failureOf(const HttpReply &reply)
{
    const std::string text = fmt::format("the platform answered {}", reply.m_status);
    switch (reply.m_status) {
    case statusNotFound:
        return {PlatformFailureKind::NotFound, {ErrorId::PlatformNotFound, text}, {}};
    case statusGone:
        return {PlatformFailureKind::TooOld, {ErrorId::PlatformRefused, text}, {}};
    case statusPreconditionFailed:
        return {PlatformFailureKind::Conflict, {ErrorId::PlatformConflict, text}, {}};
    case statusTooManyRequests:
        return {PlatformFailureKind::NoEffect,
                {ErrorId::PlatformRefused, text},
                retryAfterOf(reply)};
    default:
        // A 5xx doesn't show whether a write took effect.
        return {PlatformFailureKind::AnswerLost,
                {ErrorId::PlatformUnreachable, text},
                retryAfterOf(reply)};
    }
}

PlatformFailure failureOf(const CallFailure &failure)
{
    if (failure.m_phase == SendPhase::NothingSent) {
        return {PlatformFailureKind::NoEffect,
                {ErrorId::PlatformUnreachable, failure.m_error.m_text},
                {}};
    }
    return {PlatformFailureKind::AnswerLost,
            {ErrorId::PlatformAnswerLost, failure.m_error.m_text},
            {}};
}

PlatformFailure malformed()
{
    return {PlatformFailureKind::AnswerLost,
            {ErrorId::PlatformUnreachable,
             "the platform's answer doesn't conform to docs/PLATFORM.md"},
            {}};
}

PlatformObject objectFrom(const nlohmann::json &entry)
{
    PlatformObject object;
    object.m_name = entry.value("name", "");
    object.m_version = entry.value("version", ObjectVersion{0});
    object.m_body = entry.value("body", "");
    object.m_deleted = entry.value("deleted", false);
    return object;
}

PlatformResult<PlatformObjects> objectsFrom(const std::string &body, const char *listName)
{
    // Converts exceptions of the JSON library into an error.
    try {
        const nlohmann::json document = nlohmann::json::parse(body);
        PlatformObjects result;
        result.m_version = document.at("version").get<ObjectVersion>();
        for (const nlohmann::json &entry : document.at(listName))
            result.m_objects.push_back(objectFrom(entry));
        return result;
    } catch (const nlohmann::json::exception &) {
        return malformed();
    }
}

} // namespace

PlatformClient::PlatformClient(HttpClient &client, Endpoint endpoint, Duration timeout)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{}

PlatformResult<PlatformObject> PlatformClient::read(std::string_view kind, std::string_view name)
{
    ++m_calls.m_reads;
    const auto result = send(makeCall("GET", objectTarget(kind, name)));
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return *failure;
    const HttpReply &reply = std::get<HttpReply>(result);
    PlatformObject object;
    object.m_name = name;
    object.m_version = versionIn(reply.m_headers.value("ETag"));
    object.m_body = reply.m_body;
    return object;
}

PlatformResult<PlatformObjects> PlatformClient::list(std::string_view kind, std::string_view prefix,
                                                     bool withBodies)
{
    ++m_calls.m_reads;
    HttpTargetBuilder target("/v1/objects");
    target.segment(kind).parameter("prefix", prefix);
    if (withBodies)
        target.parameter("bodies", "1");
    const auto result = send(makeCall("GET", target.build()));
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return *failure;
    return objectsFrom(std::get<HttpReply>(result).m_body, "objects");
}

PlatformResult<ObjectVersion> PlatformClient::create(std::string_view kind, std::string_view name,
                                                     std::string body)
{
    return put(kind, name, std::move(body), "If-None-Match", "*");
}

PlatformResult<ObjectVersion> PlatformClient::update(std::string_view kind, std::string_view name,
                                                     ObjectVersion version, std::string body)
{
    return put(kind, name, std::move(body), "If-Match", quoted(version));
}

PlatformResult<Done> PlatformClient::remove(std::string_view kind, std::string_view name,
                                            std::optional<ObjectVersion> version)
{
    ++m_calls.m_writes;
    HttpCall call = makeCall("DELETE", objectTarget(kind, name));
    if (version)
        call.m_headers.add("If-Match", quoted(*version));
    const auto result = send(call);
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return *failure;
    return Done{};
}

PlatformResult<PlatformObjects> PlatformClient::watch(std::string_view kind, ObjectVersion after,
                                                      Duration patience)
{
    ++m_calls.m_watches;
    HttpTargetBuilder target("/v1/watch");
    target.segment(kind)
            .parameter("after", std::to_string(after))
            .parameter("timeoutMs", std::to_string(toWholeMillis(patience)));
    HttpCall call = makeCall("GET", target.build());
    call.m_headerTimeout = patience + watchMargin;
    const auto result = send(call);
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return *failure;
    return objectsFrom(std::get<HttpReply>(result).m_body, "events");
}

PlatformResult<ObjectVersion> PlatformClient::put(std::string_view kind, std::string_view name,
                                                  std::string body, std::string condition,
                                                  std::string conditionValue)
{
    ++m_calls.m_writes;
    HttpCall call = makeCall("PUT", objectTarget(kind, name));
    call.m_headers.add("Content-Type", "application/octet-stream");
    call.m_headers.add(std::move(condition), std::move(conditionValue));
    call.m_body = std::move(body);
    const auto result = send(call);
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return *failure;
    return versionIn(std::get<HttpReply>(result).m_headers.value("ETag"));
}

PlatformResult<HttpReply> PlatformClient::send(const HttpCall &call)
{
    auto result = m_client.call(call);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        // A pooled connection that a device between the two ends has dropped stays silent, while
        // new connections work. It shows as a timeout. Without this, the next call would take
        // another such connection from the pool and wait as long again.
        m_client.forget(m_endpoint);
        ++m_calls.m_failures;
        m_isUp = false;
        return failureOf(*failure);
    }
    HttpReply &reply = std::get<HttpReply>(result);
    const bool isAnswered = reply.m_status < 500;
    m_isUp = isAnswered;
    if (reply.m_status == statusOk || reply.m_status == statusCreated
        || reply.m_status == statusNoContent)
        return std::move(reply);
    if (!isAnswered)
        ++m_calls.m_failures;
    if (reply.m_status == statusPreconditionFailed)
        ++m_calls.m_conflicts;
    if (reply.m_status == statusTooManyRequests)
        ++m_calls.m_limited;
    return failureOf(reply);
}

HttpCall PlatformClient::makeCall(std::string method, std::string target) const
{
    HttpCall call;
    call.m_endpoint = m_endpoint;
    call.m_method = std::move(method);
    call.m_target = std::move(target);
    call.m_connectTimeout = m_timeout;
    call.m_headerTimeout = m_timeout;
    call.m_silenceTimeout = m_timeout;
    return call;
}

} // namespace gypsumdale
