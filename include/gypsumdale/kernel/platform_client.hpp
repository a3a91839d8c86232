#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// A version of the platform's store.
using ObjectVersion = std::uint64_t;

/// One object as a read, a list or a watch shows it.
struct PlatformObject
{
    std::string m_name;
    ObjectVersion m_version = 0;
    std::string m_body;
    bool m_deleted = false;
};

/// Objects, and the version of the store up to which they tell everything.
struct PlatformObjects
{
    ObjectVersion m_version = 0;
    std::vector<PlatformObject> m_objects;
};

/// How a call to the platform failed, by what the caller may conclude from it.
enum class PlatformFailureKind {
    /// It certainly had no effect: nothing was sent, or the rate was spent.
    NoEffect,
    /// It may have taken effect, or may yet.
    AnswerLost,
    /// The condition on the version did not hold; nothing changed.
    Conflict,
    NotFound,
    /// The watch began too far back.
    TooOld,
};

struct PlatformFailure
{
    PlatformFailureKind m_failureKind = PlatformFailureKind::AnswerLost;
    Error m_error;
    /// The time to come back that the platform named, or zero.
    Duration m_retryAfter{};
};

template <typename Value>
using PlatformResult = std::variant<Value, PlatformFailure>;

/// Counts the calls, for the platform's rates.
struct PlatformCalls
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_failures = 0;
    /// Calls refused since an object had another version, and since the rate was spent.
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_limited = 0;
};

/// Calls the platform's object API (docs/PLATFORM.md) from fibers of the control loop.
class PlatformClient
{
public:
    PlatformClient(HttpClient &client, Endpoint endpoint, Duration timeout);

    PlatformResult<PlatformObject> read(std::string_view kind, std::string_view name);
    /// Lists names and versions, with bodies if asked.
    PlatformResult<PlatformObjects> list(std::string_view kind, std::string_view prefix,
                                         bool withBodies);
    /// Creates an object if there is none of that name.
    PlatformResult<ObjectVersion> create(std::string_view kind, std::string_view name,
                                         std::string body);
    /// Replaces an object that is still at the version.
    PlatformResult<ObjectVersion> update(std::string_view kind, std::string_view name,
                                         ObjectVersion version, std::string body);
    /// Deletes an object, if a version is given only at that version.
    PlatformResult<Done> remove(std::string_view kind, std::string_view name,
                                std::optional<ObjectVersion> version);
    /// Waits for changes after a version, at most for the time given.
    PlatformResult<PlatformObjects> watch(std::string_view kind, ObjectVersion after,
                                          Duration patience);

    const PlatformCalls &calls() const { return m_calls; }
    /// Tells whether the last call that ended was answered at all.
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
