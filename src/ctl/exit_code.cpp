#include <ctl/exit_code.hpp>

namespace gypsumdale::ctl {

namespace {

/// Error ids below this number are errors about settings.
constexpr int settingsErrorsEnd = 200;

} // namespace

ExitCode exitCodeFor(ErrorId id)
{
    if (static_cast<int>(id) < settingsErrorsEnd)
        return ExitCode::Findings;
    switch (id) {
    case ErrorId::RequestMalformed:
    case ErrorId::MethodNotAllowed:
        return ExitCode::Usage;
    case ErrorId::PlatformConflict:
        return ExitCode::Conflict;
    case ErrorId::NotReady:
    case ErrorId::Draining:
    case ErrorId::PlatformUnreachable:
    case ErrorId::PeerUnreachable:
    case ErrorId::UpstreamUnreachable:
    case ErrorId::ConnectionClosed:
        return ExitCode::Unreachable;
    case ErrorId::CredentialRefused:
        return ExitCode::CredentialRefused;
    case ErrorId::NotFound:
    case ErrorId::PlatformNotFound:
    case ErrorId::ProfileUnknown:
    case ErrorId::ServiceUnknown:
    case ErrorId::JobUnknown:
        return ExitCode::NotFound;
    case ErrorId::Timeout:
        return ExitCode::Timeout;
    case ErrorId::PlatformAnswerLost:
    case ErrorId::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Failed;
    }
}

ExitCode exitCodeForStatus(int status)
{
    switch (status) {
    case 400:
        return ExitCode::Usage;
    case 401:
    case 403:
        return ExitCode::CredentialRefused;
    case 404:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Conflict;
    case 422:
        return ExitCode::Findings;
    case 502:
    case 503:
        return ExitCode::Unreachable;
    case 504:
        return ExitCode::Timeout;
    default:
        return ExitCode::Failed;
    }
}

} // namespace gypsumdale::ctl
