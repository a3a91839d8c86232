#pragma once

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Stable numeric ids of all errors. An id is never reused with another meaning; docs/OPERATIONS.md
/// lists each error and the action to take.
enum class ErrorId : int {
    // 1xx: settings
    SettingsUnreadable = 101,
    SettingsSyntax = 102,
    SettingsUnknownKey = 103,
    SettingsMissingKey = 104,
    SettingsWrongType = 105,
    SettingsOutOfRange = 106,
    SettingsUnknownName = 107,
    SettingsDuplicate = 108,
    SettingsContradiction = 109,
    // 2xx: invalid requests
    RequestMalformed = 201,
    RequestTooLarge = 202,
    RequestTooSlow = 203,
    CredentialRefused = 204,
    ProfileUnknown = 205,
    ServiceUnknown = 206,
    NotFound = 207,
    MethodNotAllowed = 208,
    KeyReusedWithOtherBody = 209,
    // 3xx: admission and limits
    QueueFull = 301,
    DeadlineUnreachable = 302,
    MemberOverLimit = 303,
    RetryBudgetSpent = 304,
    Draining = 305,
    NotReady = 306,
    MemoryUsedUp = 307,
    // 4xx: upstreams and outcomes
    UpstreamUnreachable = 401,
    UpstreamFailed = 402,
    UpstreamSilent = 403,
    AnswerTruncated = 404,
    OutcomeUnknown = 405,
    NoUpstream = 406,
    UpstreamRefused = 407,
    TermOver = 408,
    // 5xx: the platform
    PlatformUnreachable = 501,
    PlatformConflict = 502,
    PlatformAnswerLost = 503,
    PlatformRefused = 504,
    PlatformNotFound = 505,
    // 6xx: peer nodes
    PeerUnreachable = 601,
    PeerMalformed = 602,
    PeerRefused = 603,
    // 7xx: durable jobs
    JobNotHeld = 701,
    JobFenced = 702,
    JobUnknown = 703,
    JobExpired = 704,
    // 9xx: process and connections
    AddressInUse = 901,
    ConnectionClosed = 902,
    Timeout = 903,
    Cancelled = 904,
    Internal = 999,
};

/// Returns the short name of an error as logs and answers carry it, such as "queue-full".
/// Complexity: linear in the number of errors.
std::string_view errorName(ErrorId id);

/// An error id and a human-readable message. The message contains no secret and no prompt.
struct Error
{
    ErrorId m_id = ErrorId::Internal;
    std::string m_text;
};

} // namespace gypsumdale
