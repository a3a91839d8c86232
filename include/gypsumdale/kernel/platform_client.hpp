#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Version number in the platform's store.
using ObjectVersion = std::uint64_t;

/// An object as returned by a read, a list or a watch.
struct PlatformObject
{
    std::string m_name;
    ObjectVersion m_version = 0;
    std::string m_body;
    bool m_deleted = false;
};

/// Objects, and the version of the store up to which they are complete.
struct PlatformObjects
{
    ObjectVersion m_version = 0;
    std::vector<PlatformObject> m_objects;
};

/// Kinds of failed platform calls, by what is known about their effect.
enum class PlatformFailureKind {
    /// The call had no effect: nothing was sent, or the rate limit was reached.
    NoEffect,
    /// The call may have taken effect, or still may.
    AnswerLost,
    /// The version condition was not met; nothing changed.
    Conflict,
    NotFound,
    /// The watch started at a version that is no longer available.
    TooOld,
};

struct PlatformFailure
{
    PlatformFailureKind m_failureKind = PlatformFailureKind::AnswerLost;
    Error m_error;
    /// Retry-after given by the platform, or zero.
    Duration m_retryAfter{};
};

template <typename Value>
using PlatformResult = std::variant<Value, PlatformFailure>;

/// Numbers of calls, for the platform's rate limits.
struct PlatformCalls
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_failures = 0;
    /// Calls refused because the object had another version, and because the rate limit was
    /// reached.
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_limited = 0;
};

/// Client of the platform's object API (docs/PLATFORM.md), used in fibers of the control loop.
class PlatformClient
{
public:
    PlatformClient(HttpClient &client, Endpoint endpoint, Duration timeout);

    PlatformResult<PlatformObject> read(std::string_view kind, std::string_view name);
    /// Lists names and versions, on request with bodies.
    PlatformResult<PlatformObjects> list(std::string_view kind, std::string_view prefix,
                                         bool withBodies);
    /// Creates an object unless one of that name exists.
    PlatformResult<ObjectVersion> create(std::string_view kind, std::string_view name,
                                         std::string body);
    /// Replaces an object if it still has the version.
    PlatformResult<ObjectVersion> update(std::string_view kind, std::string_view name,
                                         ObjectVersion version, std::string body);
    /// Deletes an object; if a version is given, only at that version.
    PlatformResult<Done> remove(std::string_view kind, std::string_view name,
                                std::optional<ObjectVersion> version);
    /// Waits for changes after a version, for at most the given time.
    PlatformResult<PlatformObjects> watch(std::string_view kind, ObjectVersion after,
                                          Duration patience);

    const PlatformCalls &calls() const { return m_calls; }
    /// Returns whether the last completed call was answered.
    bool isReachable() const { return m_isUp; }

private:
    PlatformResult<HttpReply> send(const HttpCall &call);
    PlatformResult<ObjectVersion> put(std::string_view kind, std::string_view name,
                                      std::string body, std::string condition,
                                      std::string conditionValue);
    HttpCall makeCall(std::string method, std::string target) const;

    HttpClient &m_client;
    Endpoint m_endpoint;
    Duration m_timeout;
    PlatformCalls m_calls;
    bool m_isUp = false;
};

} // namespace gypsumdale
