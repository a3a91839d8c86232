#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

namespace {

constexpr NameTable<ErrorId, 50> errorNames = {{
        {ErrorId::SettingsUnreadable, "settings-unreadable"},
        {ErrorId::SettingsSyntax, "settings-syntax"},
        {ErrorId::SettingsUnknownKey, "settings-unknown-key"},
        {ErrorId::SettingsMissingKey, "settings-missing-key"},
        {ErrorId::SettingsWrongType, "settings-wrong-type"},
        {ErrorId::SettingsOutOfRange, "settings-out-of-range"},
        {ErrorId::SettingsUnknownName, "settings-unknown-name"},
        {ErrorId::SettingsDuplicate, "settings-duplicate"},
        {ErrorId::SettingsContradiction, "settings-contradiction"},
        {ErrorId::RequestMalformed, "request-malformed"},
        {ErrorId::RequestTooLarge, "request-too-large"},
        {ErrorId::RequestTooSlow, "request-too-slow"},
        {ErrorId::CredentialRefused, "credential-refused"},
        {ErrorId::ProfileUnknown, "profile-unknown"},
        {ErrorId::ServiceUnknown, "service-unknown"},
        {ErrorId::NotFound, "not-found"},
        {ErrorId::MethodNotAllowed, "method-not-allowed"},
        {ErrorId::KeyReusedWithOtherBody, "key-reused-with-other-body"},
        {ErrorId::QueueFull, "queue-full"},
        {ErrorId::DeadlineUnreachable, "deadline-unreachable"},
        {ErrorId::MemberOverLimit, "member-over-limit"},
        {ErrorId::RetryBudgetSpent, "retry-budget-spent"},
        {ErrorId::Draining, "draining"},
        {ErrorId::NotReady, "not-ready"},
        {ErrorId::MemoryUsedUp, "memory-used-up"},
        {ErrorId::UpstreamUnreachable, "upstream-unreachable"},
        {ErrorId::UpstreamFailed, "upstream-failed"},
        {ErrorId::UpstreamSilent, "upstream-silent"},
        {ErrorId::AnswerTruncated, "answer-truncated"},
        {ErrorId::OutcomeUnknown, "outcome-unknown"},
        {ErrorId::NoUpstream, "no-upstream"},
        {ErrorId::UpstreamRefused, "upstream-refused"},
        {ErrorId::TermOver, "term-over"},
        {ErrorId::PlatformUnreachable, "platform-unreachable"},
        {ErrorId::PlatformConflict, "platform-conflict"},
        {ErrorId::PlatformAnswerLost, "platform-answer-lost"},
        {ErrorId::PlatformRefused, "platform-refused"},
        {ErrorId::PlatformNotFound, "platform-not-found"},
        {ErrorId::PeerUnreachable, "peer-unreachable"},
        {ErrorId::PeerMalformed, "peer-malformed"},
        {ErrorId::PeerRefused, "peer-refused"},
        {ErrorId::JobNotHeld, "job-not-held"},
        {ErrorId::JobFenced, "job-fenced"},
        {ErrorId::JobUnknown, "job-unknown"},
        {ErrorId::JobExpired, "job-expired"},
        {ErrorId::AddressInUse, "address-in-use"},
        {ErrorId::ConnectionClosed, "connection-closed"},
        {ErrorId::Timeout, "timeout"},
        {ErrorId::Cancelled, "cancelled"},
        {ErrorId::Internal, "internal"},
}};

} // namespace

std::string_view errorName(ErrorId id)
{
    return enumName(errorNames, id);
}

} // namespace gypsumdale
